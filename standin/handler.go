package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"lovageshift"
	"lovageshift/engine"
)

const tooMuchBytes = 64 << 20

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/streams/{id}", e.resume).Methods(http.MethodGet)
	router.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/cache", e.serveCache).Methods(http.MethodGet)
	router.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	return router
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.countLeaks(r, raw)
	ask, err := readCompletion(raw)
	if err != nil {
		http.Error(w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	if e.misbehave(w, r) {
		return
	}
	seq, stands := e.enter(ask, r.Context().Done())
	if !stands {
		e.crashNow()
		return
	}
	w.Header().Set(engine.HeaderIncarnation, e.incarnationName())
	if ask.Stream {
		e.stream(w, r, seq, 0)
		return
	}
	e.whole(w, r, seq)
}

// countLeaks looks for client secrets anywhere in a request.
func (e *Engine) countLeaks(r *http.Request, raw []byte) {
	seen := r.URL.String() + string(raw)
	for name, values := range r.Header {
		seen += name + strings.Join(values, " ")
	}
	if strings.Contains(seen, "ls_") || r.Header.Get("Authorization") != "" {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.stats.LeakedKeys++
	}
}

func (e *Engine) misbehave(w http.ResponseWriter, r *http.Request) bool {
	e.mutex.Lock()
	fault := e.fault
	e.mutex.Unlock()
	switch fault {
	case FaultMalformed:
		_, _ = io.WriteString(w, "data: {not json\n\n<<<")
	case FaultTooLarge:
		flood(w, r)
	case FaultNoResponse:
		<-r.Context().Done()
	case FaultError:
		http.Error(w, `{"error":{"message":"out of memory"}}`, http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

func flood(w http.ResponseWriter, r *http.Request) {
	line := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("x", 8192) + "\"}}]}\n\n"
	for sent := 0; sent < tooMuchBytes && r.Context().Err() == nil; sent += len(line) {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, seq *sequence, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderStream, seq.id)
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	sent := after
	for {
		select {
		case number, more := <-seq.tokens:
			if !more {
				e.endStream(w, seq, sent)
				return
			}
			if number <= after {
				continue
			}
			e.breakAt(number)
			if e.endsEarly(number) {
				return
			}
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", CompletionToken(seq.tag, number))
			flusher.Flush()
			sent = number
		case <-r.Context().Done():
			return
		}
	}
}

// breakAt cuts the connection in mid-answer when that fault is on.
func (e *Engine) breakAt(number int) {
	e.mutex.Lock()
	broken := e.fault == FaultTruncate || e.fault == FaultTruncateOnce
	if broken && number == 3 && e.fault == FaultTruncateOnce {
		e.fault = FaultNone
	}
	e.mutex.Unlock()
	if broken && number == 3 {
		panic(http.ErrAbortHandler)
	}
}

// endsEarly reports whether the answer is to end here as if it were whole, but without its mark.
func (e *Engine) endsEarly(number int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault == FaultNoEndMarker && number == 3
}

func (e *Engine) endStream(w http.ResponseWriter, seq *sequence, sent int) {
	usage := fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`, seq.prompt, sent, seq.cached)
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", usage)
	e.forget(seq)
}

func (e *Engine) forget(seq *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.streams, seq.id)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, seq *sequence) {
	var text strings.Builder
	count := 0
	for {
		select {
		case number, more := <-seq.tokens:
			if !more {
				writeWhole(w, seq, text.String(), count)
				e.forget(seq)
				return
			}
			e.breakAt(number)
			text.WriteString(CompletionToken(seq.tag, number))
			count++
		case <-r.Context().Done():
			return
		}
	}
}

func writeWhole(w http.ResponseWriter, seq *sequence, text string, count int) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`,
		text, seq.prompt, count, seq.cached)
}

// resume goes on with a stream whose reader was cut off; the answer's tokens are made again from their numbers.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mutex.Lock()
	seq := e.streams[mux.Vars(r)["id"]]
	resumes := e.profile.CanResume
	e.mutex.Unlock()
	if err != nil || seq == nil || !resumes {
		http.NotFound(w, r)
		return
	}
	e.mutex.Lock()
	again := &sequence{
		id: seq.id, tag: seq.tag, prompt: seq.prompt, computed: seq.prompt, cached: seq.cached,
		output: seq.output, emitted: after, tokens: make(chan int, seq.output+1), gone: r.Context().Done(),
	}
	e.streams[seq.id] = again
	e.batch = append(e.batch, again)
	if !e.stepping {
		e.stepping = true
		time.AfterFunc(0, e.step)
	}
	e.mutex.Unlock()
	w.Header().Set(engine.HeaderIncarnation, e.incarnationName())
	e.stream(w, r, again, after)
}

func (e *Engine) incarnationName() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strconv.Itoa(e.incarnation)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if age := time.Since(e.reportedAt); e.reportedAt.IsZero() || age >= e.profile.ReportLag {
		e.report = engine.LoadReport{
			Incarnation: strconv.Itoa(e.incarnation), Running: len(e.batch) + len(e.queue), Cold: e.cold,
			Model: e.order.Model, Adapter: e.order.Adapter, Version: e.order.Version, Role: e.order.Role, Fencing: e.order.Fencing,
		}
		e.reportedAt = time.Now()
	}
	e.report.AgeMillis = lovageshift.Millis(time.Since(e.reportedAt).Milliseconds())
	writeJSON(w, e.report)
}

// serveCache tells of changes, with a gap whenever the reader is more than a hundred behind.
func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	const kept = 100
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	next := e.cache.added + e.cache.evicted
	first := from
	if next > from+kept || next < from {
		first = next
	}
	writeJSON(w, engine.CacheEvents{First: first, Next: next, Added: int(e.cache.added), Evicted: int(e.cache.evicted)})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.obey(order))
}

func (e *Engine) obey(order engine.Order) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fencing <= e.order.Fencing {
		e.stats.StaleOrders++
		if e.profile.ChecksFencing {
			return http.StatusConflict
		}
	}
	if e.profile.WeightLoadsPerSecond > 0 && time.Since(e.lastLoad) < time.Second/time.Duration(e.profile.WeightLoadsPerSecond) {
		return http.StatusTooManyRequests
	}
	e.lastLoad = time.Now()
	e.order = order
	return http.StatusOK
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
