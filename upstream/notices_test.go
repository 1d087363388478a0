package upstream_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/platform"
	"lovageshift/standin"
)

// TestNoticesOfTargets guards against a target's word on itself that is missed because its response is skipped or invalid, and
// against one that is taken from another target.
func TestNoticesOfTargets(t *testing.T) {
	leaving := standin.HeaderLeaving + ": 1\r\n"
	named := func(id string) string { return standin.HeaderRequestID + ": " + id + "\r\n" }
	end := "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		leaving  int // responses that say so
		faults   []platform.HeaderFaultKind
	}{
		"an answer":                        {header + leaving + end, 1, nil},
		"a refusal":                        {"HTTP/1.1 503 Refused\r\n" + named("r1") + leaving + end, 1, nil},
		"a failure, in other letters":      {"HTTP/1.1 500 Failed\r\n" + named("r1") + "sErVeR-LeAvInG: 1\r\n" + end, 1, nil},
		"an unsigned success":              {"HTTP/1.1 200 OK\r\n" + named("r1") + leaving + end, 1, nil},
		"a late answer to its own request": {signed + named("r0") + leaving + end, 1, nil},
		"a late answer to another's":       {signed + named("r9") + leaving + end, 0, nil},
		"an answer without an id":          {signed + leaving + end, 0, nil},
		"an answer of another target":      {"HTTP/1.1 421 Misdirected\r\n" + named("r1") + leaving + end, 0, nil},
		"an interim answer":                {"HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n" + header + end, 0, []platform.HeaderFaultKind{platform.FaultInterim}},
		"a trailer": {
			header + "Trailer: " + standin.HeaderLeaving + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + leaving + "\r\n",
			0,
			[]platform.HeaderFaultKind{platform.FaultTrailer},
		},
		"an empty header": {header + standin.HeaderLeaving + ":\r\n" + end, 0, []platform.HeaderFaultKind{platform.FaultEmpty}},
	} {
		Convey("What a target says of itself in "+name, t, func() {
			s := newScriptedTarget(signed+named("r0")+end, c.response)
			defer s.close()
			var seen []platform.ResponseHeader
			s.pool.OnResponse(func(id lovageshift.TargetID, born int64, header platform.ResponseHeader) {
				So(id, ShouldEqual, s.target.ID)
				So(born, ShouldEqual, s.target.Born)
				seen = append(seen, header)
			})
			_, _ = s.sendAs("r0")
			_, _ = s.sendAs("r1")
			said := 0
			var faults []platform.HeaderFaultKind
			for _, header := range seen {
				if header.Leaving {
					said++
				}
				for _, fault := range header.Faults {
					So(http.CanonicalHeaderKey(fault.Header), ShouldEqual, standin.HeaderLeaving)
					faults = append(faults, fault.Kind)
				}
			}
			So(said, ShouldEqual, c.leaving)
			So(faults, ShouldResemble, c.faults)
		})
	}
}
