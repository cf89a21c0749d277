package commander

import (
	"errors"
	"fmt"

	"damaskspread.example/damaskspread/wire"
)

// askLeader calls the job-entry processes one after the other until one returns an
// answer. A process without an answer may name the leader, which is called next. It
// returns the address of the process that answered; noAnswer describes in the error
// one that did not.
func askLeader[T any](
	entries []string, noAnswer string, call func(entry string) (answer *T, leader *wire.Leadership, err error),
) (string, *T, error) {
	var failures []error
	for _, entry := range entries {
		answer, leader, err := call(entry)
		if address := leader.GetAddress(); answer == nil && address != "" && address != entry {
			entry = address
			answer, _, err = call(entry)
		}
		switch {
		case err != nil:
			failures = append(failures, fmt.Errorf("%s: %w", entry, err))
		case answer == nil:
			failures = append(failures, fmt.Errorf("%s %s", entry, noAnswer))
		default:
			return entry, answer, nil
		}
	}
	return "", nil, errors.Join(failures...)
}
