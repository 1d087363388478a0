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

// oversizedBytes is the size of an answer with EngineFaultTooLarge and of endless ones.
const oversizedBytes = 64 << 20

// Handler returns the handler of the engine's HTTP interface: completions, resumption, load and cache reports, orders.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/streams/{id}", e.serveResume).Methods(http.MethodGet)
	router.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/cache", e.serveCache).Methods(http.MethodGet)
	router.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	return router
}

// serveCompletion answers a completion request with a stream or a single JSON document, or with the fault that is set.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.countLeakedKeys(r, body)
	request, err := parseCompletion(body)
	if err != nil {
		http.Error(w, `{"error":{"message":"not JSON"}}`, http.StatusBadRequest)
		return
	}
	if e.serveFault(w, r) {
		return
	}
	seq, ok := e.enqueue(request, r.Context().Done())
	if !ok {
		e.crashNow()
		return
	}
	w.Header().Set(engine.HeaderIncarnation, e.incarnationName())
	if request.Stream {
		e.writeStream(w, r, seq, 0)
		return
	}
	e.writeBuffered(w, r, seq)
}

// countLeakedKeys counts a request that carries an API key, which an engine must never get: the request has an
// Authorization header, or "ls_", the prefix of API keys, in its URL, headers or body.
func (e *Engine) countLeakedKeys(r *http.Request, body []byte) {
	content := r.URL.String() + string(body)
	for name, values := range r.Header {
		content += name + strings.Join(values, " ")
	}
	if strings.Contains(content, "ls_") || r.Header.Get("Authorization") != "" {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.stats.LeakedKeys++
	}
}

// serveFault answers with the fault that is set and returns true. It returns false, and writes nothing, if the request
// is to be run: there is no fault, or one that affects only the third token.
func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) bool {
	e.mutex.Lock()
	fault := e.fault
	e.mutex.Unlock()
	switch fault {
	case EngineFaultMalformed:
		_, _ = io.WriteString(w, "data: {not json\n\n<<<")
	case EngineFaultTooLarge:
		writeOversized(w, r, "data: {\"choices\":[{\"delta\":{\"content\":\""+strings.Repeat("x", 8192)+"\"}}]}\n\n")
	case EngineFaultEndlessEvent:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: ")
		writeOversized(w, r, strings.Repeat("x", 8192))
	case EngineFaultEndlessComments:
		w.Header().Set("Content-Type", "text/event-stream")
		writeOversized(w, r, strings.Repeat(":\n\n", 2048))
	case EngineFaultNoResponse:
		<-r.Context().Done()
	case EngineFaultServerError:
		http.Error(w, `{"error":{"message":"out of memory"}}`, http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// writeOversized writes 64 MiB of the text; it stops early if the request is cancelled.
func writeOversized(w http.ResponseWriter, r *http.Request, text string) {
	for sent := 0; sent < oversizedBytes && r.Context().Err() == nil; sent += len(text) {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// writeStream writes the tokens whose number is above after as an event stream. It returns early if the request is
// cancelled.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, seq *sequence, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderStream, seq.id)
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	sent := after
	for {
		select {
		case number, open := <-seq.tokenNumbers:
			if !open {
				e.endStream(w, seq, sent)
				return
			}
			if number <= after {
				continue
			}
			e.abortAtThirdToken(number)
			if e.endsWithoutMarker(number) {
				return
			}
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
				CompletionToken(seq.tag, number))
			flusher.Flush()
			sent = number
		case <-r.Context().Done():
			return
		}
	}
}

// abortAtThirdToken aborts the connection if the number is 3 and EngineFaultTruncate or EngineFaultTruncateOnce is set.
func (e *Engine) abortAtThirdToken(number int) {
	e.mutex.Lock()
	truncates := e.fault == EngineFaultTruncate || e.fault == EngineFaultTruncateOnce
	if truncates && number == 3 && e.fault == EngineFaultTruncateOnce {
		e.fault = EngineFaultNone
	}
	e.mutex.Unlock()
	if truncates && number == 3 {
		panic(http.ErrAbortHandler)
	}
}

// endsWithoutMarker reports whether the stream is to end before the numbered token without its end marker: the number
// is 3 and EngineFaultNoEndMarker is set.
func (e *Engine) endsWithoutMarker(number int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault == EngineFaultNoEndMarker && number == 3
}

// endStream writes the event with the token usage and the end marker, where sent is the number of the last token.
func (e *Engine) endStream(w http.ResponseWriter, seq *sequence, sent int) {
	usage := fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		seq.promptTokens, sent, seq.cachedTokens)
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", usage)
	e.removeStream(seq)
}

func (e *Engine) removeStream(seq *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.streams, seq.id)
}

// writeBuffered waits for all tokens and answers with a single JSON document. It returns early if the request is
// cancelled.
func (e *Engine) writeBuffered(w http.ResponseWriter, r *http.Request, seq *sequence) {
	var text strings.Builder
	count := 0
	for {
		select {
		case number, open := <-seq.tokenNumbers:
			if !open {
				writeCompletion(w, seq, text.String(), count)
				e.removeStream(seq)
				return
			}
			e.abortAtThirdToken(number)
			text.WriteString(CompletionToken(seq.tag, number))
			count++
		case <-r.Context().Done():
			return
		}
	}
}

func writeCompletion(w http.ResponseWriter, seq *sequence, text string, count int) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`,
		text, seq.promptTokens, count, seq.cachedTokens)
}

// serveResume continues a stream whose connection broke; the query parameter "after" is the number of the last token
// received. The text of a token depends only on the prompt and the token's number, so a new sequence generates the
// remaining tokens.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mutex.Lock()
	seq := e.streams[mux.Vars(r)["id"]]
	canResume := e.profile.CanResume
	e.mutex.Unlock()
	if err != nil || seq == nil || !canResume {
		http.NotFound(w, r)
		return
	}
	e.mutex.Lock()
	resumed := &sequence{
		id: seq.id, tag: seq.tag, promptTokens: seq.promptTokens, prefilled: seq.promptTokens, cachedTokens: seq.cachedTokens,
		outputTokens: seq.outputTokens, emitted: after,
		tokenNumbers: make(chan int, seq.outputTokens+1), cancelled: r.Context().Done(),
	}
	e.streams[seq.id] = resumed
	e.batch = append(e.batch, resumed)
	if !e.stepping {
		e.stepping = true
		time.AfterFunc(0, e.step)
	}
	e.mutex.Unlock()
	w.Header().Set(engine.HeaderIncarnation, e.incarnationName())
	e.writeStream(w, r, resumed, after)
}

func (e *Engine) incarnationName() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strconv.Itoa(e.incarnation)
}

// serveLoad answers with the load report, which it first renews if it is Profile.ReportMaxAge old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if age := time.Since(e.reportedAt); e.reportedAt.IsZero() || age >= e.profile.ReportMaxAge {
		e.report = engine.LoadReport{
			Incarnation: strconv.Itoa(e.incarnation), Running: len(e.batch) + len(e.queue), Cold: e.cold,
			Model: e.order.Model, Adapter: e.order.Adapter, Version: e.order.Version,
			Role: e.order.Role, Fencing: e.order.Fencing,
		}
		e.reportedAt = time.Now()
	}
	e.report.AgeMillis = lovageshift.Millis(time.Since(e.reportedAt).Milliseconds())
	writeJSON(w, e.report)
}

// serveCache answers with the cache events starting at the sequence number in the query parameter "from". If more than
// 100 events follow, or the number is above Next because the cache was emptied, First equals Next: the reader then
// sees that it missed events. Added and Evicted are the totals since the cache was last emptied.
func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	const maxEvents = 100
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	next := e.cache.added + e.cache.evicted
	first := from
	if next > from+maxEvents || next < from {
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
	w.WriteHeader(e.applyOrder(order))
}

// applyOrder accepts an order or refuses it, and returns the HTTP status: 409 for a stale order if the
// profile has ChecksFencing, 429 beyond the rate of the weight store.
func (e *Engine) applyOrder(order engine.Order) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fencing <= e.order.Fencing {
		e.stats.StaleOrders++
		if e.profile.ChecksFencing {
			return http.StatusConflict
		}
	}
	if e.profile.WeightLoadsPerSecond > 0 &&
		time.Since(e.lastWeightLoad) < time.Second/time.Duration(e.profile.WeightLoadsPerSecond) {
		return http.StatusTooManyRequests
	}
	e.lastWeightLoad = time.Now()
	e.order = order
	return http.StatusOK
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
