package deduplicator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread/wire"
)

const (
	// Limits of one transfer message.
	maxTransferEntries = 256
	maxTransferBytes   = 1 << 20
	rpcTimeout         = time.Second
	// retryInterval is the time between two iterations of Run, which retry
	// failed transfers and appends.
	retryInterval  = 200 * time.Millisecond
	expireEvery    = 25 // iterations of Run between two removals of expired keys
	maxResultSends = 8  // concurrent messages with results
)

type result struct {
	id  shardID
	key string
}

// Run calls Synchronize repeatedly, sends results to the secondaries and removes
// expired keys until the tomb dies. It always returns nil.
func (d *Deduplicator) Run(t *tomb.Tomb) error {
	d.mu.Lock()
	d.initialize()
	d.mu.Unlock()
	ctx := t.Context(context.Background())
	t.Go(func() error {
		// A stopping agent still sends its last results, because no other agent
		// has them. Each message has a timeout of its own.
		sendContext := context.WithoutCancel(ctx)
		for {
			select {
			case first := <-d.results:
				d.sendResults(sendContext, first)
				continue
			case <-t.Dying():
			}
			select {
			case first := <-d.results:
				d.sendResults(sendContext, first)
			default:
				return nil
			}
		}
	})
	ticker := d.Clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for iteration := 1; ; iteration++ {
		if iteration%expireEvery == 0 {
			d.expire()
		}
		_ = d.Synchronize(ctx) // retried in the next iteration
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
		case <-d.wake:
		}
	}
}

// sendResults sends up to maxTransferEntries waiting results, one message for
// each shard, and waits for the responses.
func (d *Deduplicator) sendResults(ctx context.Context, first result) {
	batch := []result{first}
	for len(batch) < maxTransferEntries {
		select {
		case next := <-d.results:
			batch = append(batch, next)
			continue
		default:
		}
		break
	}
	slots := make(chan struct{}, maxResultSends)
	for address, messages := range d.resultMessages(batch) {
		for _, message := range messages {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				// If sending fails, the secondary keeps answering unknown for the key.
				_ = d.send(ctx, address, message)
			}()
		}
	}
	for range maxResultSends {
		slots <- struct{}{}
	}
}

func (d *Deduplicator) resultMessages(batch []result) map[string][]*wire.ReplicateRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	byShard := map[shardID]*wire.ReplicateRequest{}
	byAddress := map[string][]*wire.ReplicateRequest{}
	for _, item := range batch {
		sh := d.shards[item.id]
		e := sh.keys[item.key]
		if e == nil || sh.peer == "" {
			continue
		}
		message := byShard[item.id]
		if message == nil {
			if message = d.resultMessage(sh); message == nil {
				continue
			}
			byShard[item.id] = message
			byAddress[sh.peer] = append(byAddress[sh.peer], message)
		}
		message.Entries = append(message.Entries, e.toWire(now))
	}
	return byAddress
}

// resultMessage returns an empty message for results of a shard, or nil if the
// shard has no secondary. It has no epoch if this agent lost its role while the
// request ran: the receiver then stores results for the keys that it has.
func (d *Deduplicator) resultMessage(sh *shard) *wire.ReplicateRequest {
	if sh.role != roleNone {
		return d.newMessage(sh)
	}
	return &wire.ReplicateRequest{
		Service: sh.id.service,
		Shard:   sh.id.shard,
		From:    proto.CloneOf(d.self),
	}
}
