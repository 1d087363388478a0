package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/standin"
)

// A withdrawn key went on working if the store came back older and its revisions were given out again at once.
func TestKeyWithdrawnAfterTheStoreCameBackOlder(t *testing.T) {
	Convey("A key that was withdrawn after the store came back from an older copy works no longer", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		older := s.store.Copy()
		for range 3 {
			s.store.Put(standin.ZoneOutKey("zone-b"), struct{}{})
		}
		s.waitFor(func() bool { return s.gateway.StateUpdate(1).StoreRevision == older.Revision()+3 })
		s.store.SetFailure(http.StatusServiceUnavailable)
		s.store.Restore(older)
		s.publish("another key")
		for range 4 { // the revision is beyond that of before
			s.store.Put(standin.ZoneOutKey("zone-c"), struct{}{})
		}
		s.store.SetFailure(0)
		s.waitFor(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusUnauthorized })
	})
}
