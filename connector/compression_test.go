package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// addressServer responds with the address of a leader.
type addressServer struct {
	wireconnect.UnimplementedCoordinatorServiceHandler
	address string
}

func (s *addressServer) FindLeader(context.Context, *connect.Request[wire.FindLeaderRequest]) (*connect.Response[wire.FindLeaderResponse], error) {
	return connect.NewResponse(&wire.FindLeaderResponse{Leader: &wire.Leadership{Address: s.address}}), nil
}

// Guards against a leader that spends its processor time on compressing responses of a few
// bytes, and against large ones that fill a slow link.
func TestOnlyLargeResponsesAreCompressed(t *testing.T) {
	for bytes, encoding := range map[int]string{20: "", 4000: "gzip"} {
		_, handler := wireconnect.NewCoordinatorServiceHandler(&addressServer{address: strings.Repeat("a", bytes)},
			connector.CompressLargeResponses())
		server := httptest.NewServer(handler)
		defer server.Close()
		client := wireconnect.NewCoordinatorServiceClient(&http.Client{Transport: http.DefaultTransport}, server.URL)
		response, err := client.FindLeader(context.Background(), connect.NewRequest(&wire.FindLeaderRequest{}))
		assert.NilError(t, err)
		assert.Equal(t, response.Header().Get("Content-Encoding"), encoding, "%d bytes", bytes)
	}
}
