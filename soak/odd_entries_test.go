package soak_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// oddBodies are announcements of another writer.
func oddBodies() []string {
	good := `{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":4000,"memMb":4096},"labels":["a","r"],"clockMs":5,"sequence":4,"born":9}`
	return []string{
		strings.Repeat("[", 500_000), strings.Repeat(`{"a":`, 200_000), "\xff\xfe", "", "null", `{"service":7}`,
		strings.Replace(good, `"labels":["a","r"]`, `"labels":`+strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1),
		strings.Replace(good, `"cpu":4000`, `"cpu":1e400`, 1),
		strings.Replace(good, `"cpu":4000`, `"cpu":-1`, 1),
		strings.Replace(good, `"memMb":4096`, `"memMb":9223372036854775807`, 1),
		strings.Replace(good, `127.0.0.1:80`, `127.0.0.1:99999`, 1),
		strings.Replace(good, `"sequence":4`, `"sequence":9223372036854775807`, 1),
		strings.Replace(good, `"sequence":4`, `"sequence":9007199254740991`, 1),
		strings.Replace(good, `"born":9`, `"born":9007199254740991`, 1),
		strings.Replace(good, `"clockMs":5`, `"clockMs":-5`, 1),
	}
}

// sendOddEntries sends odd announcements to the agents, under the id of their executor and
// under another one, and appends odd records to each topic, until the context ends.
func (f *fleet) sendOddEntries(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	writer := &emulator.KeyedLogClient{Log: f.log}
	far, _ := proto.Marshal(&wire.Leadership{Process: "x", Address: "127.0.0.1:99999", Epoch: math.MaxInt64})
	values := [][]byte{{0xff, 0xff}, []byte(strings.Repeat("[", 100_000)), far}
	for round := 0; ctx.Err() == nil; round++ {
		for i, agent := range f.agents {
			body := oddBodies()[round%len(oddBodies())]
			id := "i-odd"
			if round%2 == 0 {
				id = f.executors[i].executor.Info("s", "z", nil).GetId()
			}
			response, err := client.Post("http://"+agent.executorsAddress+"/Instances.Heartbeat/"+id, "application/json", strings.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
		}
		for _, topic := range []string{"jobs", "progress", "leader", "entries", "op", "servers"} {
			for _, key := range []string{"odd", "leader", "config", "evacuate/odd", fmt.Sprintf("%016x", round), "00000000000000aa.-1"} {
				_, _ = writer.Append(ctx, topic, []*wire.KeyedRecord{{Key: key, Value: values[round%len(values)]}}, nil)
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// Guards against one odd entry of another writer that ends the processes which read it, or
// makes them stop following: real processes get each kind, again and again, and jobs go on.
func TestOddEntriesStopNoProcess(t *testing.T) {
	f := newFleet(t, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	jobs := make(chan string, 1000)
	var writers sync.WaitGroup
	writers.Go(func() { f.sendOddEntries(ctx) })
	writers.Go(func() { f.submitJobs(ctx, 0, 4, jobs) })
	writers.Wait()
	close(jobs)
	accepted := len(jobs)
	assert.Assert(t, accepted > 10, "%d jobs accepted", accepted)
	f.awaitJobs(jobs)
	for _, p := range append(f.entries, f.agents...) {
		select {
		case <-p.exited():
			t.Errorf("%s has ended", p.name)
		default:
		}
	}
	violations := f.checker.report()
	assert.Equal(t, len(violations), 0, "%v", violations)
}
