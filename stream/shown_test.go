package stream_test

import (
	"testing"

	"lovageshift"
	"lovageshift/stream"
)

// Once the store was back, a view without the record that a restarted target had yet to write counted as complete.
func TestRestartsDuringAnOutageShowOnlyOnceTheirRecordsMustHaveArrived(t *testing.T) {
	shown := stream.NewShown(1)
	for _, step := range []struct{ now, age, until int }{
		{1000, 100, 0}, {5000, 100, 0}, {5001, 100, 5001}, {9000, 2900, 9000}, // the start
		{11_000, 3001, 10_999}, {14_000, 6001, 10_999}, // the store is away
		{14_100, 50, 10_999}, {18_999, 900, 10_999}, {19_000, 900, 19_000}, // it is back
		{23_000, 3500, 22_500}, {23_100, 50, 22_500}, {25_000, 3200, 22_500}, {29_999, 10, 22_500}, {30_000, 10, 30_000}, // twice
	} {
		if until := shown.Until(lovageshift.Millis(step.now), lovageshift.Millis(step.age)); until != lovageshift.Millis(step.until) {
			t.Errorf("at %d, with a view of age %d: %d, wanted %d", step.now, step.age, until, step.until)
		}
	}
}
