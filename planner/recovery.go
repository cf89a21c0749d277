package planner

import (
	"time"

	"damaskspread.example/damaskspread/tracker"
)

// PacedGroup is a group of which late tasks are held back, and their number.
type PacedGroup struct {
	Group *tracker.Group
	Held  int
}

// PaceLate returns the groups to plan after an outage during which callers were refused,
// and those of which late tasks are held back for now. The groups have to be sorted by
// Order. share is the part of the refused callers that has not returned yet, from 0 to 1.
//
// After an outage much of what waits can't be in time any more. If all of it starts as soon
// as the log is back, it holds the processors for whole runs, and the jobs of the callers
// that return meanwhile become late behind it. Tasks of late and overdue jobs therefore take
// only what the waiting jobs on time leave, and of each service the given share of the
// processors stays free. Starved jobs are not held back, so the bound on a wait holds.
func PaceLate(groups []*tracker.Group, hosts []*Host, share float64, nowUnixMs int64) (planned []*tracker.Group, paced []PacedGroup) {
	rooms := roomsFor(hosts, share)
	late := map[*tracker.Group]bool{}
	for _, group := range groups {
		switch CostOf(WaitingOf(group, nowUnixMs)).Class {
		case ClassLate, ClassOverdue:
			late[group] = true
		default:
			rooms.take(group, group.Pending())
		}
	}
	for _, group := range groups {
		if !late[group] {
			planned = append(planned, group)
			continue
		}
		fitting := 0
		if fewer := group.AtMost(rooms.fitting(group)); fewer != nil {
			planned = append(planned, fewer)
			fitting = fewer.Pending()
			rooms.take(group, fitting)
		}
		if held := group.Pending() - fitting; held > 0 {
			paced = append(paced, PacedGroup{
				Group: group,
				Held:  held,
			})
		}
	}
	return planned, paced
}

// room is what late tasks of a service may take, in millicores: tasks that reserve
// processors, and best-effort tasks.
type room struct{ reserving, bestEffort int64 }

// rooms are those of the services. A service without a host has no room.
type rooms map[string]*room

// roomsFor returns the free processors of each service beyond the share that stays free.
func roomsFor(hosts []*Host, share float64) rooms {
	all := rooms{}
	for _, host := range hosts {
		service := all[host.Service]
		if service == nil {
			service = &room{}
			all[host.Service] = service
		}
		shares := host.Shares()
		service.reserving += shares.Free - int64(share*float64(shares.Finite))
		service.bestEffort += shares.Idle - int64(share*float64(shares.BestEffort))
	}
	return all
}

// take removes the room of a number of the group's tasks. Processors that a task reserves
// are no longer idle either.
func (r rooms) take(group *tracker.Group, tasks int) {
	service := r[group.Job().Service()]
	if service == nil || group.Step().GetLongRunning() {
		// Long-running tasks are no part of the processors that are shared out.
		return
	}
	taken := int64(tasks) * group.Step().GetResources().GetMillicores()
	service.bestEffort -= taken
	if !group.Step().GetFillsIdle() {
		service.reserving -= taken
	}
}

// fitting returns how many of the group's tasks have room.
func (r rooms) fitting(group *tracker.Group) int {
	perTask := group.Step().GetResources().GetMillicores()
	if perTask <= 0 {
		return group.Pending()
	}
	service := r[group.Job().Service()]
	if service == nil {
		return 0
	}
	left := service.reserving
	if group.Step().GetFillsIdle() {
		left = service.bestEffort
	}
	return int(max(0, min(left/perTask, int64(group.Pending()))))
}

// ReturningShare returns the share of the callers refused in an outage that has not
// returned yet, at a time since its end. They return evenly, because they were refused
// evenly; all have after the given time.
func ReturningShare(since, within time.Duration) float64 {
	if since < 0 || within <= 0 || since >= within {
		return 0
	}
	return 1 - float64(since)/float64(within)
}
