package validator

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"damaskspread.example/damaskspread/wire"
)

// Unlimited is the quota of a resource that has no quota.
const Unlimited = math.MaxInt64

// maxAmount is the largest amount of a resource. It keeps sums over the hosts of
// a cluster of the target size within an int64.
const maxAmount = 1 << 50

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
				if !IsName(item) || contains(list[:i], item) {
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
			if !contains(options, text) {
				return &rejection{suggestion: nearest(text, options)}
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
				if _, err := netip.ParseAddrPort(item); err != nil || contains(list[:i], item) {
					return rejectValue()
				}
			}
			*target = list
			return nil
		},
	}
}

// processors parses cores with up to three decimals into millicores.
func processors(target *int64, unlimited bool) valueParser {
	return amount(target, unlimited, "processors in cores, such as 16 or 0.25", func(text string) (int64, bool) {
		whole, fraction, _ := strings.Cut(text, ".")
		if len(fraction) > 3 || strings.HasSuffix(text, ".") {
			return 0, false
		}
		n, err := strconv.ParseUint(whole+(fraction + "000")[:3], 10, 63)
		return int64(n), err == nil && whole != ""
	})
}

var memoryUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

func memory(target *int64, unlimited bool) valueParser {
	return amount(target, unlimited, "memory with a unit (B, KB, MB, GB, TB, KiB, MiB, GiB, TiB), such as 60GB", func(text string) (int64, bool) {
		for _, unit := range memoryUnits {
			if digits, ok := strings.CutSuffix(text, unit.suffix); ok {
				n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
				return int64(n) * unit.bytes, err == nil && int64(n) <= maxAmount/unit.bytes
			}
		}
		return 0, text == "0"
	})
}

func accelerators(target *int64, unlimited bool) valueParser {
	return amount(target, unlimited, "a number of accelerators", func(text string) (int64, bool) {
		n, err := strconv.ParseUint(text, 10, 63)
		return int64(n), err == nil
	})
}

func amount(target *int64, unlimited bool, expected string, parse func(string) (int64, bool)) valueParser {
	if unlimited {
		expected += ", or unlimited"
	}
	return valueParser{
		expected: expected,
		parse: func(text string) *rejection {
			if unlimited && text == "unlimited" {
				*target = Unlimited
				return nil
			}
			n, ok := parse(text)
			if !ok || n > maxAmount {
				if unlimited {
					return &rejection{suggestion: nearest(text, []string{"unlimited"})}
				}
				return rejectValue()
			}
			*target = n
			return nil
		},
	}
}

// resourceFields returns the keys for processors, memory and accelerators.
func resourceFields(target *wire.Resources, prefix, defaultText, description string, unlimited bool) []Field {
	return []Field{
		optional(prefix+"processors", defaultText, description+": processors", processors(&target.Millicores, unlimited)),
		optional(prefix+"memory", defaultText, description+": memory", memory(&target.MemoryBytes, unlimited)),
		optional(prefix+"accelerators", defaultText, description+": accelerators", accelerators(&target.Accelerators, unlimited)),
	}
}

// IsAddress reports whether text is an IP address and port (ip:port).
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// ParseResources parses amounts in the syntax of the configuration document. The
// diagnostic is nil for valid amounts.
func ParseResources(cores, bytes, devices string) (*wire.Resources, *Diagnostic) {
	amounts := &wire.Resources{}
	for _, part := range []struct {
		key, text string
		value     valueParser
	}{
		{"processors", cores, processors(&amounts.Millicores, false)},
		{"memory", bytes, memory(&amounts.MemoryBytes, false)},
		{"accelerators", devices, accelerators(&amounts.Accelerators, false)},
	} {
		if part.value.parse(part.text) != nil {
			return nil, &Diagnostic{
				File:     "arguments",
				Key:      part.key,
				Found:    part.text,
				Expected: part.value.expected,
			}
		}
	}
	return amounts, nil
}
