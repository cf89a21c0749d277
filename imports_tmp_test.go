package damaskspread_test

import (
	_ "connectrpc.com/connect"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/phuslu/log"
	_ "github.com/rs/zerolog"
	_ "github.com/samber/oops"
	_ "github.com/spf13/cobra"
	_ "github.com/uptrace/bunrouter"
	_ "golang.org/x/net/http2"
	_ "gopkg.in/ini.v1"
	_ "gopkg.in/tomb.v2"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
