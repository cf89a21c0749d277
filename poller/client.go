package poller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// maxResponseBytes bounds a response. An estimate of 64 queues has about 10 KiB.
const maxResponseBytes = 64 << 10

// Client calls CoordinatorService.GetLoad of other entry processes.
type Client struct {
	HTTP *http.Client
}

// GetLoad calls the entry process at address.
func (c *Client) GetLoad(ctx context.Context, address string) (*wire.GetLoadResponse, error) {
	client := wireconnect.NewCoordinatorServiceClient(c.HTTP, "http://"+address, connect.WithReadMaxBytes(maxResponseBytes))
	response, err := client.GetLoad(ctx, connect.NewRequest(&wire.GetLoadRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
