package admitter

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// Peers calls the deduplicators of other agents. It is safe for concurrent use.
// HTTP is set before the first use.
type Peers struct {
	HTTP connect.HTTPClient

	clients sync.Map // address to wireconnect.AgentServiceClient
}

var _ deduplicator.Peers = (*Peers)(nil)

// Replicate implements deduplicator.Peers.
func (p *Peers) Replicate(ctx context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	client, ok := p.clients.Load(address)
	if !ok {
		client, _ = p.clients.LoadOrStore(address, wireconnect.NewAgentServiceClient(p.HTTP, "http://"+address,
			connect.WithAcceptCompression("gzip", nil, nil)))
	}
	response, err := client.(wireconnect.AgentServiceClient).Replicate(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
