package placer

// capacityClassKey identifies the hosts of a zone with the same capacity.
type capacityClassKey struct {
	zone     *zone
	capacity amount
}

// capacityClass lists the hosts of a zone with the same capacity. A cluster has
// few different host sizes, so iterating over classes is much cheaper than
// iterating over hosts.
type capacityClass struct {
	capacityClassKey
	hosts   []*host
	members int
}

func (x *Index) addToClass(h *host) {
	key := capacityClassKey{
		zone:     h.zone,
		capacity: h.capacity,
	}
	c := x.capacityClasses[key]
	if c == nil {
		c = &capacityClass{
			capacityClassKey: key,
		}
		x.capacityClasses[key] = c
	}
	h.capacityClass, h.classIndex = c, len(c.hosts)
	c.hosts = append(c.hosts, h)
	if h.member {
		c.members++
	}
}

func (x *Index) removeFromClass(h *host) {
	c := h.capacityClass
	if c == nil {
		return
	}
	last := c.hosts[len(c.hosts)-1]
	c.hosts[h.classIndex], last.classIndex = last, h.classIndex
	c.hosts = c.hosts[:len(c.hosts)-1]
	h.capacityClass = nil
	if h.member {
		c.members--
	}
	if len(c.hosts) == 0 {
		delete(x.capacityClasses, c.capacityClassKey)
	}
}
