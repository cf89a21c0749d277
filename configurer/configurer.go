// Package configurer keeps the newest fleet configuration and the set of zones
// that operators took out of service, as published in the keyed log.
//
// A Configurer starts no goroutine: a tailer applies records, and any
// goroutine may read.
package configurer

import (
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Configurer implements damaskspread.OperatorView. Set the exported fields before
// use.
type Configurer struct {
	// Decode returns the operation that a record holds, or nil if it holds none
	// for the Configurer.
	Decode func(record *wire.KeyedRecord) (*damaskspread.Operation, error)
	// Age returns an upper bound on the age of the applied records.
	Age func() time.Duration

	mu       sync.RWMutex
	config   *wire.FleetConfig
	zonesOut map[string]bool
}

// Apply applies records, which must come in the order of the log. With reset, it
// first returns all zones to service; the configuration stays.
func (c *Configurer) Apply(records []*wire.KeyedRecord, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reset || c.zonesOut == nil {
		c.zonesOut = map[string]bool{}
	}
	for _, record := range records {
		c.applyRecord(record)
	}
}

func (c *Configurer) applyRecord(record *wire.KeyedRecord) {
	operation, err := c.Decode(record)
	if err != nil {
		log.Error().Str("key", record.GetKey()).Int64("offset", record.GetOffset()).Err(err).
			Msg("publication ignored: decoding failed")
		return
	}
	switch {
	case operation == nil:
	case operation.Config != nil:
		c.applyConfig(operation.Config, record.GetOffset())
	case operation.ZoneOut != "":
		c.zonesOut[operation.ZoneOut] = true
		log.Info().Str("zone", operation.ZoneOut).Int64("offset", record.GetOffset()).Msg("zone taken out of service")
	case operation.ZoneBack != "":
		delete(c.zonesOut, operation.ZoneBack)
		log.Info().Str("zone", operation.ZoneBack).Int64("offset", record.GetOffset()).Msg("zone returned to service")
	}
}

// applyConfig replaces the configuration, but never by one with a lower version.
func (c *Configurer) applyConfig(config *wire.FleetConfig, offset int64) {
	if config.GetVersion() < c.config.GetVersion() {
		log.Warn().Int64("version", config.GetVersion()).Int64("in_force", c.config.GetVersion()).
			Msg("configuration ignored: a later version is in force")
		return
	}
	if config.GetVersion() > c.config.GetVersion() {
		log.Info().Int64("version", config.GetVersion()).Int64("offset", offset).
			Int("queues", len(config.GetQueues())).Msg("configuration applied")
	}
	c.config = config
}

// Config implements damaskspread.OperatorView.
func (c *Configurer) Config() (*wire.FleetConfig, time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.config, c.Age()
}

// ZonesOut implements damaskspread.OperatorView.
func (c *Configurer) ZonesOut() map[string]bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.zonesOut)
}
