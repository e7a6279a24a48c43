package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/submitter"
)

// Kind is a kind of call, for counting.
type Operation int

// Kinds of calls.
const (
	OpGet Operation = iota
	OpList
	OpCreate
	OpUpdate
	OpWatch
	OpInstances
	OpRegister
	OpRemove
	kinds
)

var kindNames = [kinds]string{"get", "list", "create", "update", "watch", "instances", "register", "remove"}

// String returns the kind's name in lower case.
func (k Operation) String() string { return kindNames[k] }

// Counts returns the number of calls by the name of their kind. A waiting watch
// is one call.
func (c *Client) CallCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for k := range c.counts {
		counts[Operation(k).String()] = c.counts[k].Load()
	}
	return counts
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name string `json:"name"`
	// Address is the instance's Peer address.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is live or leaving.
	State string `json:"state"`
}

// States of an Instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Get implements submitter.Store.
func (c *Client) Get(ctx context.Context, key string) (o submitter.Object, err error) {
	defer annotate(&err, "get %s", key)
	err = c.read(ctx, OpGet, objectPath(key), &o)
	return o, err
}

// List implements submitter.Store.
func (c *Client) List(ctx context.Context, prefix, after string) (found []submitter.Object, err error) {
	defer annotate(&err, "list %s", prefix)
	query := url.Values{"prefix": {prefix}}
	if after != "" {
		query.Set("after", after)
	}
	var page struct {
		Objects []submitter.Object `json:"objects"`
	}
	err = c.read(ctx, OpList, "/v1/objects?"+query.Encode(), &page)
	return page.Objects, err
}

// Create implements submitter.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (version uint64, err error) {
	defer annotate(&err, "create %s", key)
	return c.put(ctx, OpCreate, objectPath(key)+"?create=1", value)
}

// Update implements submitter.Store.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (next uint64, err error) {
	defer annotate(&err, "update %s", key)
	return c.put(ctx, OpUpdate, objectPath(key)+"?version="+strconv.FormatUint(version, 10), value)
}

func (c *Client) put(ctx context.Context, kind Operation, path string, value []byte) (uint64, error) {
	a, err := c.write(ctx, kind, fasthttp.MethodPut, path, value)
	if err != nil {
		return 0, err
	}
	var written struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(a.Body, &written); err != nil || written.Version == 0 {
		return 0, fmt.Errorf("%w: the answer has no version", submitter.ErrUnknownOutcome)
	}
	return written.Version, nil
}

// Watch implements submitter.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, until time.Time) (change submitter.WatchResult, err error) {
	defer annotate(&err, "watch %s", prefix)
	wait := max(0, time.Until(until).Milliseconds())
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {strconv.FormatInt(wait, 10)},
	}
	ctx, cancel := context.WithDeadline(ctx, until.Add(waitSlack))
	defer cancel()
	err = c.read(ctx, OpWatch, "/v1/watch?"+query.Encode(), &change)
	return change, err
}

// Instances returns the platform's list of instances, which may lag.
func (c *Client) Instances(ctx context.Context) (list []Instance, err error) {
	defer annotate(&err, "list instances")
	err = c.read(ctx, OpInstances, "/v1/instances", &list)
	return list, err
}

// Register writes the instance's entry, or replaces it.
func (c *Client) Register(ctx context.Context, i Instance) (err error) {
	defer annotate(&err, "register %s", i.Name)
	body, err := json.Marshal(i)
	if err != nil {
		return err
	}
	_, err = c.write(ctx, OpRegister, fasthttp.MethodPut, "/v1/instances/"+url.PathEscape(i.Name), body)
	return err
}

// Remove deletes the instance's entry. An absent entry is no error.
func (c *Client) Remove(ctx context.Context, name string) (err error) {
	defer annotate(&err, "remove %s", name)
	a, err := c.write(ctx, OpRemove, fasthttp.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil)
	if a.Status == fasthttp.StatusNotFound {
		return nil
	}
	return err
}

// objectPath keeps the slashes of the key.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
