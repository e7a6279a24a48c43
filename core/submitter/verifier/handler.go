package verifier

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamstream.example/core/submitter"
)

// Handler serves a store in the platform's HTTP format, for tests of clients.
type Handler struct{ Store submitter.Store }

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case isObject && r.Method == http.MethodPut:
		h.put(w, r, key)
	case isObject:
		o, err := h.Store.Get(r.Context(), key)
		reply(w, o, err)
	case r.URL.Path == "/v1/objects":
		found, err := h.Store.List(r.Context(), q.Get("prefix"), q.Get("after"))
		reply(w, map[string]any{"objects": found}, err)
	case r.URL.Path == "/v1/watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		c, err := h.Store.Watch(r.Context(), q.Get("prefix"), after, until)
		reply(w, c, err)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h Handler) put(w http.ResponseWriter, r *http.Request, key string) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var version uint64
	var err error
	if r.URL.Query().Get("create") == "1" {
		version, err = h.Store.Create(r.Context(), key, value)
	} else {
		old, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		version, err = h.Store.Update(r.Context(), key, old, value)
	}
	reply(w, map[string]any{"key": key, "version": version}, err)
}

// reply ends an exchange whose outcome is unknown without an answer.
func reply(w http.ResponseWriter, body any, err error) {
	conflict := (*submitter.ConflictError)(nil)
	switch {
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusConflict)
		body = conflict.Current
	case errors.Is(err, submitter.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(body)
}
