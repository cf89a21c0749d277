package placer

import "damaskspread.example/damaskspread/wire"

// amount is an amount of each resource. The memory is in bytes.
type amount struct {
	millicores   int64
	memory       int64
	accelerators int64
}

func amountOf(r *wire.Resources) amount {
	return amount{
		millicores:   r.GetMillicores(),
		memory:       r.GetMemoryBytes(),
		accelerators: r.GetAccelerators(),
	}
}

func (a amount) plus(b amount) amount {
	return amount{
		millicores:   a.millicores + b.millicores,
		memory:       a.memory + b.memory,
		accelerators: a.accelerators + b.accelerators,
	}
}

func (a amount) minus(b amount) amount {
	return amount{
		millicores:   a.millicores - b.millicores,
		memory:       a.memory - b.memory,
		accelerators: a.accelerators - b.accelerators,
	}
}

func (a amount) times(factor int64) amount {
	return amount{
		millicores:   factor * a.millicores,
		memory:       factor * a.memory,
		accelerators: factor * a.accelerators,
	}
}

func (a amount) covers(need amount) bool {
	return need.millicores <= a.millicores && need.memory <= a.memory && need.accelerators <= a.accelerators
}

func (a amount) wire() *wire.Resources {
	return &wire.Resources{
		Millicores:   a.millicores,
		MemoryBytes:  a.memory,
		Accelerators: a.accelerators,
	}
}
