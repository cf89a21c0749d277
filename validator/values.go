package validator

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// rejection reports an invalid value. The suggestion is a similar valid value, or
// empty.
type rejection struct {
	suggestion string
}

// valueParser parses values of one type. parse stores a valid value in the target
// that the parser was created with and returns nil.
type valueParser struct {
	expected string
	parse    func(text string) *rejection
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

const nameExpected = "a name of 1 to 63 letters, digits, _, . and -"

// IsName reports whether text can name a zone, service, team, kind or host.
func IsName(text string) bool { return namePattern.MatchString(text) }

func rejectValue() *rejection { return &rejection{} }

func name(target *string) valueParser {
	return valueParser{
		expected: nameExpected,
		parse: func(text string) *rejection {
			if !IsName(text) {
				return rejectValue()
			}
			*target = text
			return nil
		},
	}
}

func names(target *[]string) valueParser {
	return valueParser{
		expected: "a comma-separated list of names",
		parse: func(text string) *rejection {
			list := splitList(text)
			for i, item := range list {
				if !IsName(item) || slices.Contains(list[:i], item) {
					return rejectValue()
				}
			}
			*target = list
			return nil
		},
	}
}

func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	list := strings.Split(text, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}

func choice(target *string, options ...string) valueParser {
	return valueParser{
		expected: "one of " + strings.Join(options, ", "),
		parse: func(text string) *rejection {
			if !slices.Contains(options, text) {
				return &rejection{suggestion: Nearest(text, options)}
			}
			*target = text
			return nil
		},
	}
}

// boolean accepts the same words as ini.v1, because the replayer reads in_service
// with ini.v1.
func boolean(target *bool) valueParser {
	return valueParser{
		expected: "yes or no (also true, false, on, off, 1, 0)",
		parse: func(text string) *rejection {
			file := ini.Empty()
			key, err := file.Section("").NewKey("value", text)
			if err != nil {
				return rejectValue()
			}
			parsed, err := key.Bool()
			if err != nil || strings.Contains(text, "%(") {
				return rejectValue()
			}
			*target = parsed
			return nil
		},
	}
}

func integer(target *int, low, high int) valueParser {
	return valueParser{
		expected: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(text string) *rejection {
			n, err := strconv.Atoi(text)
			if err != nil || n < low || n > high {
				return rejectValue()
			}
			*target = n
			return nil
		},
	}
}

func number(target *float64, low, high float64) valueParser {
	return valueParser{
		expected: fmt.Sprintf("a number from %g to %g", low, high),
		parse: func(text string) *rejection {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || !(n >= low && n <= high) {
				return rejectValue()
			}
			*target = n
			return nil
		},
	}
}

func duration(target *time.Duration, low, high time.Duration) valueParser {
	return valueParser{
		expected: fmt.Sprintf("a duration from %s to %s, such as 250ms, 3s or 15m", formatDuration(low), formatDuration(high)),
		parse: func(text string) *rejection {
			d, err := time.ParseDuration(text)
			if err != nil {
				if _, err := strconv.ParseFloat(text, 64); err == nil {
					return &rejection{suggestion: text + "s"}
				}
				return rejectValue()
			}
			if d < low || d > high {
				return rejectValue()
			}
			*target = d
			return nil
		},
	}
}

// formatDuration omits trailing zero units, e.g. 15m for 15m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// address accepts an IP address and port. Host names are invalid because
// processes do not use DNS.
func address(target *string, loopback bool) valueParser {
	expected := "ip:port, such as 10.0.0.5:7400"
	if loopback {
		expected = "ip:port of a loopback address, such as 127.0.0.1:7403"
	}
	return valueParser{
		expected: expected,
		parse: func(text string) *rejection {
			parsed, err := netip.ParseAddrPort(text)
			if err != nil || (loopback && !parsed.Addr().IsLoopback()) {
				return rejectValue()
			}
			*target = text
			return nil
		},
	}
}

func addresses(target *[]string) valueParser {
	return valueParser{
		expected: "a comma-separated list of ip:port",
		parse: func(text string) *rejection {
			list := splitList(text)
			for i, item := range list {
				if _, err := netip.ParseAddrPort(item); err != nil || slices.Contains(list[:i], item) {
					return rejectValue()
				}
			}
			*target = list
			return nil
		},
	}
}

// IsAddress reports whether text is an IP address and port (ip:port).
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
