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

// Unlimited is the amount of a resource without quota.
const Unlimited = math.MaxInt64

// maxAmount keeps sums over the hosts of the target size within an int64.
const maxAmount = 1 << 50

// rejected is the reason of a value's rejection, with a suggestion or "".
type rejected struct {
	text string
}

// value reads one kind of value into its target.
type value struct {
	expected string
	set      func(text string) *rejected
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

const nameExpected = "a name of 1 to 63 letters, digits, _, . and -"

// IsName reports whether text can name a zone, service, team, kind or host.
func IsName(text string) bool { return namePattern.MatchString(text) }

func reject() *rejected { return &rejected{} }

func name(target *string) value {
	return value{
		expected: nameExpected,
		set: func(text string) *rejected {
			if !IsName(text) {
				return reject()
			}
			*target = text
			return nil
		},
	}
}

func names(target *[]string) value {
	return value{
		expected: "a comma-separated list of names",
		set: func(text string) *rejected {
			list := splitList(text)
			for i, item := range list {
				if !IsName(item) || contains(list[:i], item) {
					return reject()
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

func choice(target *string, options ...string) value {
	return value{
		expected: "one of " + strings.Join(options, ", "),
		set: func(text string) *rejected {
			if !contains(options, text) {
				return &rejected{text: nearest(text, options)}
			}
			*target = text
			return nil
		},
	}
}

// flag takes what ini.v1 takes as a boolean, because the replayer reads
// in_service with ini.v1.
func flag(target *bool) value {
	return value{
		expected: "yes or no (also true, false, on, off, 1, 0)",
		set: func(text string) *rejected {
			file := ini.Empty()
			key, err := file.Section("").NewKey("value", text)
			if err != nil {
				return reject()
			}
			parsed, err := key.Bool()
			if err != nil || strings.Contains(text, "%(") {
				return reject()
			}
			*target = parsed
			return nil
		},
	}
}

func integer(target *int, low, high int) value {
	return value{
		expected: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(text string) *rejected {
			n, err := strconv.Atoi(text)
			if err != nil || n < low || n > high {
				return reject()
			}
			*target = n
			return nil
		},
	}
}

func number(target *float64, low, high float64) value {
	return value{
		expected: fmt.Sprintf("a number from %g to %g", low, high),
		set: func(text string) *rejected {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || !(n >= low && n <= high) {
				return reject()
			}
			*target = n
			return nil
		},
	}
}

func duration(target *time.Duration, low, high time.Duration) value {
	return value{
		expected: fmt.Sprintf("a duration from %s to %s, such as 250ms, 3s or 15m", short(low), short(high)),
		set: func(text string) *rejected {
			d, err := time.ParseDuration(text)
			if err != nil {
				if _, err := strconv.ParseFloat(text, 64); err == nil {
					return &rejected{text: text + "s"}
				}
				return reject()
			}
			if d < low || d > high {
				return reject()
			}
			*target = d
			return nil
		},
	}
}

// short writes a duration without zero units, e.g. 15m for 15m0s.
func short(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// address takes an IP address and port: processes use no name service.
func address(target *string, loopback bool) value {
	expected := "ip:port, such as 10.0.0.5:7400"
	if loopback {
		expected = "ip:port of a loopback address, such as 127.0.0.1:7403"
	}
	return value{
		expected: expected,
		set: func(text string) *rejected {
			parsed, err := netip.ParseAddrPort(text)
			if err != nil || (loopback && !parsed.Addr().IsLoopback()) {
				return reject()
			}
			*target = text
			return nil
		},
	}
}

func addresses(target *[]string) value {
	return value{
		expected: "a comma-separated list of ip:port",
		set: func(text string) *rejected {
			list := splitList(text)
			for i, item := range list {
				if _, err := netip.ParseAddrPort(item); err != nil || contains(list[:i], item) {
					return reject()
				}
			}
			*target = list
			return nil
		},
	}
}

// processors takes cores with up to three decimals.
func processors(target *int64, unlimited bool) value {
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

func memory(target *int64, unlimited bool) value {
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

func accelerators(target *int64, unlimited bool) value {
	return amount(target, unlimited, "a number of accelerators", func(text string) (int64, bool) {
		n, err := strconv.ParseUint(text, 10, 63)
		return int64(n), err == nil
	})
}

func amount(target *int64, unlimited bool, expected string, parse func(string) (int64, bool)) value {
	if unlimited {
		expected += ", or unlimited"
	}
	return value{
		expected: expected,
		set: func(text string) *rejected {
			if unlimited && text == "unlimited" {
				*target = Unlimited
				return nil
			}
			n, ok := parse(text)
			if !ok || n > maxAmount {
				if unlimited {
					return &rejected{text: nearest(text, []string{"unlimited"})}
				}
				return reject()
			}
			*target = n
			return nil
		},
	}
}

// resourceFields are the three keys of an amount of resources.
func resourceFields(target *wire.Resources, prefix, fallback, about string, unlimited bool) []Field {
	return []Field{
		optional(prefix+"processors", fallback, about+": processors", processors(&target.Millicores, unlimited)),
		optional(prefix+"memory", fallback, about+": memory", memory(&target.MemoryBytes, unlimited)),
		optional(prefix+"accelerators", fallback, about+": accelerators", accelerators(&target.Accelerators, unlimited)),
	}
}

// IsAddress reports whether text is ip:port.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// ParseResources reads amounts of resources as the document writes them.
func ParseResources(cores, bytes, devices string) (*wire.Resources, *Diagnostic) {
	amounts := &wire.Resources{}
	for _, part := range []struct {
		key, text string
		value     value
	}{
		{"processors", cores, processors(&amounts.Millicores, false)},
		{"memory", bytes, memory(&amounts.MemoryBytes, false)},
		{"accelerators", devices, accelerators(&amounts.Accelerators, false)},
	} {
		if part.value.set(part.text) != nil {
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
