package indexer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

const jobID = "517f50f645ca478b"

// variant weakens the protocol of refusals, to show that the checks find it.
type variant struct {
	// unconditional appends refusals wherever the topic ends and then reads up to
	// them.
	unconditional bool
	// unconfirmed accepts as soon as the append has a response.
	unconfirmed bool
	// unnamed readmits without the refusal that is overridden, in effect always.
	unnamed bool
	// lateNames overrides the refusal that is known when the job is accepted, also if
	// the attempt began before that refusal.
	lateNames bool
}

// message is an append on its way to the log. It may take effect late, twice or never.
type message struct {
	attempt *attempt
	record  *wire.KeyedRecord
	end     int64
	refusal bool
}

// attempt is one submission of the id by a caller.
type attempt struct {
	number int
	entry  *entry
	began  int
	// appended is the offset of the accepted record, or of the refusal, of which the
	// entry had a response; -1 before.
	appended int64
	refused  bool
	// record accepts the job.
	record *wire.KeyedRecord
	// response is 0 while the attempt is open.
	response int
}

const (
	accepted  = 200
	refused   = 429
	noOutcome = 504
)

// entry is a process with its index.
type entry struct {
	index *indexer.Index
	next  int64
}

// world plays the protocol of package submitter against a log of which a new process
// sees the newest record of each key alone.
type world struct {
	variant  variant
	choose   func(n int) int
	step     int
	log      []*wire.KeyedRecord
	entries  []*entry
	network  []*message
	attempts []*attempt
	// refusedAt is the step at which each refusal that a caller was told of was
	// appended.
	refusals  map[int64]int
	refusedBy []int
}

func newWorld(v variant, choose func(n int) int) *world {
	w := &world{
		variant:  v,
		choose:   choose,
		refusals: map[int64]int{},
	}
	for range 3 {
		w.entries = append(w.entries, &entry{index: &indexer.Index{}})
	}
	return w
}

// newest returns the newest record of each key.
func (w *world) newest() []*wire.KeyedRecord {
	last := map[string]*wire.KeyedRecord{}
	for _, record := range w.log {
		last[record.GetKey()] = record
	}
	var records []*wire.KeyedRecord
	for _, record := range w.log {
		if last[record.GetKey()] == record && len(record.GetValue()) > 0 {
			records = append(records, record)
		}
	}
	// Pages of newest records come in the order of keys.
	slices.SortFunc(records, func(a, b *wire.KeyedRecord) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return records
}

func (w *world) append(record *wire.KeyedRecord) int64 {
	offset := int64(len(w.log))
	w.log = append(w.log, &wire.KeyedRecord{
		Key:    record.GetKey(),
		Value:  record.GetValue(),
		Offset: offset,
	})
	return offset
}

func (w *world) act() {
	w.step++
	switch w.choose(8) {
	case 0:
		w.submit(w.entries[w.choose(len(w.entries))], w.choose(2) == 0)
	case 1, 2:
		w.deliver()
	case 3, 4:
		e := w.entries[w.choose(len(w.entries))]
		e.readTo(w, min(e.next+int64(w.choose(3)), int64(len(w.log))))
	case 5:
		w.respond()
	case 6:
		w.endAttempt()
	case 7:
		if w.choose(3) == 0 {
			w.restart(w.entries[w.choose(len(w.entries))])
		}
	}
}

func (e *entry) readTo(w *world, end int64) {
	e.index.Apply(w.log[e.next:end], false)
	e.next = end
}

func (w *world) submit(e *entry, refuse bool) {
	if len(w.attempts) > 8 {
		return
	}
	a := &attempt{
		number:   len(w.attempts) + 1,
		entry:    e,
		began:    w.step,
		appended: -1,
	}
	w.attempts = append(w.attempts, a)
	if _, known := e.index.Lookup(jobID); known {
		a.response = accepted
		return
	}
	a.record = w.acceptanceRecord(a)
	if !refuse {
		w.accept(a)
		return
	}
	record, _ := indexer.RefusalRecord(jobID, &wire.JobRefusal{Queue: "q"})
	a.refused = true
	w.network = append(w.network, &message{
		attempt: a,
		record:  record,
		end:     e.next,
		refusal: true,
	})
}

// acceptanceRecord names the refusal that the entry knows when the attempt begins. With
// lateNames it does so when the job is accepted.
func (w *world) acceptanceRecord(a *attempt) *wire.KeyedRecord {
	record, _ := a.entry.index.AcceptanceRecord(&wire.Job{
		Id:    jobID,
		Spec:  fmt.Sprint(a.number),
		Queue: "q",
		Steps: []*wire.JobStep{{Count: 1}},
	})
	if w.variant.unnamed && record.GetKey() != jobID {
		record.Key = jobID + ".readmitted.1000000"
	}
	return record
}

// accept sends the record twice, as the second connection does after 350 ms.
func (w *world) accept(a *attempt) {
	a.refused = false
	if w.variant.lateNames {
		a.record = w.acceptanceRecord(a)
	}
	for range 2 {
		w.network = append(w.network, &message{
			attempt: a,
			record:  a.record,
		})
	}
}

// deliver makes one append take effect, or loses it. Its response may get lost.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.choose(len(w.network))
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	if w.choose(6) == 0 {
		return
	}
	a := m.attempt
	if m.refusal && !w.variant.unconditional && m.end != int64(len(w.log)) {
		w.conditionFailed(m)
		return
	}
	offset := w.append(m.record)
	if m.refusal {
		w.refusals[offset] = w.step
	}
	if w.choose(4) == 0 || a.response != 0 || a.refused != m.refusal || a.appended >= 0 {
		return
	}
	a.appended = offset
}

// conditionFailed reads the topic and appends the refusal again, or accepts the job.
func (w *world) conditionFailed(m *message) {
	a := m.attempt
	if a.response != 0 || !a.refused {
		return
	}
	if w.choose(2) == 0 {
		w.accept(a)
		return
	}
	a.entry.readTo(w, int64(len(w.log)))
	if _, known := a.entry.index.Lookup(jobID); known {
		a.response = accepted
		return
	}
	m.end = a.entry.next
	w.network = append(w.network, m)
}

// respond ends an attempt whose entry knows the outcome.
func (w *world) respond() {
	for _, a := range w.attempts {
		if a.response != 0 || a.appended < 0 {
			continue
		}
		confirmed := a.entry.next > a.appended
		_, known := a.entry.index.Lookup(jobID)
		switch {
		case a.refused && w.variant.unconditional && !confirmed:
			continue
		case a.refused && w.variant.unconditional && known:
			a.response = accepted
		case a.refused:
			w.tellRefused(a, a.appended)
		case w.variant.unconfirmed || confirmed && known:
			a.response = accepted
		case confirmed:
			_, offset := a.entry.index.Refusal(jobID)
			w.tellRefused(a, offset)
		default:
			continue
		}
		return
	}
}

func (w *world) tellRefused(a *attempt, offset int64) {
	a.response = refused
	w.refusedBy = append(w.refusedBy, w.refusals[offset])
}

// endAttempt ends an attempt with an unknown outcome: of its refusal, so that the job
// is accepted, or of its acceptance.
func (w *world) endAttempt() {
	for _, a := range w.attempts {
		if a.response != 0 || a.appended >= 0 {
			continue
		}
		if a.refused {
			w.accept(a)
		} else {
			a.response = noOutcome
		}
		return
	}
}

// restart ends a process and starts it anew from the newest records.
func (w *world) restart(e *entry) {
	for _, a := range w.attempts {
		if a.entry == e && a.response == 0 {
			a.response = noOutcome
		}
	}
	e.index.Apply(w.newest(), true)
	e.next = int64(len(w.log))
}

// violation returns what callers were told wrongly, or "".
func (w *world) violation() string {
	rebuilt, read := &indexer.Index{}, &indexer.Index{}
	rebuilt.Apply(w.newest(), true)
	read.Apply(w.log, true)
	job, inEffect := rebuilt.Lookup(jobID)
	if _, same := read.Lookup(jobID); same != inEffect {
		return "a new process decides differently"
	}
	hasAcceptance := false
	for _, a := range w.attempts {
		hasAcceptance = hasAcceptance || a.response == accepted
	}
	if hasAcceptance && !inEffect {
		return "an accepted job is without effect"
	}
	if !inEffect || hasAcceptance {
		return ""
	}
	for _, a := range w.attempts {
		if job.Job().GetSpec() != fmt.Sprint(a.number) {
			continue
		}
		if a.response == refused {
			return "a refused attempt is in effect"
		}
		for _, at := range w.refusedBy {
			if a.began < at {
				return "an attempt before the refusal is in effect, and no caller was told so"
			}
		}
	}
	return ""
}

// remove removes the refusal as the leader does once no append is on its way any more.
func (w *world) remove() {
	leader := w.entries[0]
	leader.readTo(w, int64(len(w.log)))
	if _, known := leader.index.Lookup(jobID); known {
		return
	}
	for _, record := range leader.index.RemovalRecords(jobID) {
		w.append(record)
	}
}

// play returns the first violation, or "".
func (w *world) play(steps int) string {
	for range steps {
		w.act()
		if found := w.violation(); found != "" {
			return found
		}
	}
	// No append takes effect any more.
	w.network = nil
	for _, a := range w.attempts {
		if a.response == 0 {
			a.response = noOutcome
		}
	}
	w.remove()
	if found := w.violation(); found != "" {
		return found
	}
	return w.useAgain()
}

// useAgain submits the id once more and expects that it is accepted.
func (w *world) useAgain() string {
	e := w.entries[1]
	e.readTo(w, int64(len(w.log)))
	if _, known := e.index.Lookup(jobID); known {
		return ""
	}
	record, _ := e.index.AcceptanceRecord(&wire.Job{
		Id:    jobID,
		Steps: []*wire.JobStep{{Count: 1}},
	})
	w.append(record)
	e.readTo(w, int64(len(w.log)))
	if _, known := e.index.Lookup(jobID); !known {
		return "the id is not usable after its refusal"
	}
	return ""
}

// Guards against refusals that are not reliable: a job that runs although its caller
// was refused, or that is lost although its caller was told that it is accepted, with
// late and repeated appends, lagging indexes, deaths and restarts at every point.
func TestRefusalsAreReliable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(variant{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		if found := w.play(60); found != "" {
			t.Fatal(found)
		}
	})
}

// The same with plain random choices, which reach more interleavings in a second, and
// with weaker protocols. Guards against checks that find nothing.
func TestWeakerProtocolsAreNotReliable(t *testing.T) {
	for _, test := range []struct {
		name    string
		variant variant
		broken  bool
	}{
		{name: "as built"},
		{name: "refusals appended unconditionally", variant: variant{unconditional: true}, broken: true},
		{name: "acceptances not confirmed", variant: variant{unconfirmed: true}, broken: true},
		{name: "readmissions without their refusal", variant: variant{unnamed: true}, broken: true},
		{name: "refusals named after screening", variant: variant{lateNames: true}, broken: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := map[string]int{}
			for seed := range uint64(1000) {
				choices := rand.New(rand.NewPCG(seed, 1))
				if violation := newWorld(test.variant, choices.IntN).play(60); violation != "" {
					found[violation]++
				}
			}
			t.Log(found)
			assert.Equal(t, len(found) > 0, test.broken)
		})
	}
}
