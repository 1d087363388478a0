package quarantine

import (
	"cmp"
	"slices"

	"lovageshift"
)

const (
	// Limits of what one state update reports.
	maxReportedCrashes = 24
	maxReportedParts   = 64
	maxReportedBlocked = 8
	// How many rounds of state updates a report is repeated in, in case that some are lost.
	reportRounds = 3
)

// ReportCrashes returns the crashes for the next state update, the newest first: those that this process has lately seen
// itself, and the last ones of each blocked part, so that a process that has restarted learns of it.
func (r *PartRegister) ReportCrashes(now lovageshift.Millis) []Crash {
	if len(r.crashes) == 0 {
		return nil
	}
	reports := map[CrashID][]CrashPart{}
	for id, c := range r.newest(maxReportedCrashes, func(c *crash) bool { return now < c.reportUntil }) {
		for part, depth := range c.parts {
			if c.own[part] {
				reports[id] = append(reports[id], CrashPart{part, depth})
			}
		}
	}
	blocked := r.Blocked(now)
	for _, part := range blocked[:min(len(blocked), maxReportedBlocked)] {
		evidence := r.newest(answeredCrashesToBlock, func(c *crash) bool {
			_, found := c.parts[part]
			return found
		})
		for id, c := range evidence {
			if entry := (CrashPart{part, c.parts[part]}); !slices.Contains(reports[id], entry) {
				reports[id] = append(reports[id], entry)
			}
		}
	}
	list := make([]Crash, 0, len(reports))
	for id, parts := range reports {
		slices.SortFunc(parts, func(a, b CrashPart) int { return cmp.Or(cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Part, b.Part)) })
		list = append(list, Crash{ID: id, Age: now - r.crashes[id].at, Parts: parts})
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return list
}

// newest returns up to count of the crashes for which the condition holds, the newest ones.
func (r *PartRegister) newest(count int, holds func(*crash) bool) map[CrashID]*crash {
	var ids []CrashID
	for id, c := range r.crashes {
		if holds(c) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b CrashID) int { return cmp.Compare(r.crashes[b].at, r.crashes[a].at) })
	selected := map[CrashID]*crash{}
	for _, id := range ids[:min(len(ids), count)] {
		selected[id] = r.crashes[id]
	}
	return selected
}

// ReportAnswers returns the answers for the next state update, to prompts with parts that were in a crash.
func (r *PartRegister) ReportAnswers(now lovageshift.Millis) []Answer {
	var answers []Answer
	for part, until := range r.reportAnswers {
		began, answered := r.answeredAt.Peek(part)
		if now >= until || !answered {
			delete(r.reportAnswers, part)
			continue
		}
		if len(answers) < maxReportedParts {
			answers = append(answers, Answer{part, now - began})
		}
	}
	return answers
}
