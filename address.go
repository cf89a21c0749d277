package damaskspread

import (
	"net"
	"strconv"
)

// ValidAddress reports whether an address of another process has a host and a port from 1
// to 65535.
func ValidAddress(address string) bool {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}
