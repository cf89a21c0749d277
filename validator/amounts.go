package validator

import (
	"math"
	"strconv"
	"strings"

	"damaskspread.example/damaskspread/wire"
)

// Unlimited is the quota of a resource that has no quota.
const Unlimited = math.MaxInt64

// maxAmount is the largest amount of a resource. It keeps sums over the hosts of
// a cluster of the target size within an int64.
const maxAmount = 1 << 50

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
					return &rejection{suggestion: Nearest(text, []string{"unlimited"})}
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
