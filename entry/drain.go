package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/connection"
)

// drain makes the readiness check fail, keeps serving for DrainDelay while the load balancer notices, and refuses requests from then
// on. It accepts no more connections, closes the open ones as soon as no caller uses them, and waits for all responses in progress.
func (e *Entry) drain(server *http.Server, callers *connection.Listener) {
	e.draining.Store(true)
	klog.Infof("entry %s: draining", e.options.ID)
	time.Sleep(e.options.DrainDelay)
	e.refusing.Store(true)
	callers.StopAccepting()
	closing, stopClosing := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { callers.CloseUnused(closing) })
	callers.Wait(context.Background())
	stopClosing()
	tasks.Wait()
	_ = server.Close()
	klog.Infof("entry %s: drained", e.options.ID)
}

// refuseWhileStopping asks callers to close their connections once the entry is draining, and later refuses their requests.
func (e *Entry) refuseWhileStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if e.refusing.Load() && r.URL.Path != healthPath {
			e.refuse(w, stoppingRefusal())
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// stoppingRefusal returns the refusal of a request that arrives while the entry stops.
func stoppingRefusal() *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonStopping, "the entry is stopping")
}
