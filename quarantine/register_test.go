package quarantine_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/quarantine"
)

func TestSuspectWithMostCrashesIsReported(t *testing.T) {
	Convey("A request that crashed two targets is reported although many others ran at a later crash", t, func() {
		r := quarantine.NewRegister(600_000, 3)
		r.RecordCrash(1, 7)
		r.RecordCrash(2, 7)
		for other := range 50 {
			r.RecordCrash(3, lovageshift.Fingerprint(100+other))
		}
		reported := r.Foremost(4, 16)
		So(reported, ShouldHaveLength, 16)
		So(reported[0].Fingerprint, ShouldEqual, lovageshift.Fingerprint(7))
		So(reported[0].Crashes, ShouldEqual, 2)
		So(reported[1].Fingerprint, ShouldEqual, lovageshift.Fingerprint(149))
	})
}
