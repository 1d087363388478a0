package trial_test

import (
	"fmt"
	"testing"

	"lovageshift/routing"
	"lovageshift/trial"
)

func TestDbg(t *testing.T) {
	for _, pause := range []float64{0.1, 0.3} {
		for _, crowd := range []float64{300, 1000} {
			routing.PauseShare, routing.CrowdingMillis = pause, crowd
			for _, load := range []float64{0.7, 1, 3} {
				r := measure(t, trial.Contenders()[0], trial.Mixed(), load, nil)
				fmt.Printf("pause %.1f crowd %4.0f load %.1f good %.1f/%.1f urgent %.1f/%.1f wasted %.1f%% %v\n", pause, crowd, load, r.Goodput(""), r.Asked(""), r.Goodput("urgent"), r.Asked("urgent"), 100*r.WastedPrefill(), r.Reasons())
			}
		}
	}
}
