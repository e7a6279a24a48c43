// Package loader defines the configuration objects, decodes them from YAML and
// validates them. The state of a deployment is the result of applying numbered
// tickets, the entries of a change log, in order; see State.
package loader

import (
	"encoding/json"
	"time"
)

// Kinds of configuration objects. An object's key is its kind, a slash and its
// name, for example "upstream/lookup-sofia-a-1" or "weight/lookup/sofia".
const (
	KindRegion   = "region"
	KindDomain   = "domain"
	KindLink     = "link"
	KindService  = "service"
	KindUpstream = "upstream"
	KindWeight   = "weight"
	KindShift    = "shift"
	KindDrain    = "drain"
	KindBlocks   = "blocks"
	KindPolicy   = "policy"
)

// Region is a geographic area with one or more failure domains.
// Key: region/<name>.
type Region struct {
	Title string `json:"title,omitempty" yaml:"title,omitempty"`
}

// Domain is a failure domain. Key: domain/<name>.
type Domain struct {
	Region string `json:"region" yaml:"region"`
	// Instances is the number of entry instances that the domain is planned for.
	Instances int `json:"instances" yaml:"instances"`
}

// Link is the one-way path between two regions. Key: link/<from>/<to>.
type Link struct {
	// Capacity is the bandwidth in bytes per second, shared by all traffic.
	Capacity int64 `json:"capacity" yaml:"capacity"`
	// DelayMillis is the usual one-way delay.
	DelayMillis int `json:"delay" yaml:"delay"`
}

// Service is one of the deployment's services. Key: service/<name>.
type Service struct {
	// Once means at-most-once execution: a request is never retried after a byte
	// may have reached an upstream.
	Once bool `json:"once" yaml:"once"`
	// Bulk means that responses are large and get lower priority on links.
	Bulk bool `json:"bulk" yaml:"bulk"`
	// Priority runs from 0, the highest, to 9.
	Priority int `json:"priority" yaml:"priority"`
	// TimeoutMillis is the longest time that a request may run.
	TimeoutMillis int64 `json:"limit" yaml:"limit"`
	// MaxBodyBytes is the size limit of request bodies.
	MaxBodyBytes int64 `json:"body" yaml:"body"`
}

// Upstream is a server that runs requests of one service. Key: upstream/<name>.
type Upstream struct {
	Service string `json:"service" yaml:"service"`
	Domain  string `json:"domain" yaml:"domain"`
	// Address is "ip:port".
	Address string `json:"address" yaml:"address"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots" yaml:"slots"`
	// MaxConns is the maximum number of open connections.
	MaxConns int `json:"conns" yaml:"conns"`
}

// Weight distributes the requests of one service from callers of one region
// over regions. Key: weight/<service>/<region>. Without it the caller's own
// region comes first and the others follow by delay.
type Weight struct {
	// Shares maps a region to its share; the shares add up to 1.
	Shares map[string]float64 `json:"shares" yaml:"shares"`
}

// Shift moves a share of one service's requests from one region to another,
// rising linearly between Start and Finish. Key: shift/<service>.
type Shift struct {
	From  string  `json:"from" yaml:"from"`
	To    string  `json:"to" yaml:"to"`
	Share float64 `json:"share" yaml:"share"`
	// MaxRate is the maximum number of moved requests per second over all
	// instances.
	MaxRate float64   `json:"cap" yaml:"cap"`
	Start   time.Time `json:"start" yaml:"start"`
	Finish  time.Time `json:"finish" yaml:"finish"`
}

// Drain takes an upstream, a domain or a region out of use.
// Key: drain/<kind>/<name>, where kind is upstream, domain or region.
type Drain struct {
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
	// Until is the time at which the drain expires; zero means never.
	Until time.Time `json:"until,omitzero" yaml:"until,omitempty"`
}

// Blocks assigns the address blocks of callers to their home region. Key: blocks/<n>.
type Blocks struct {
	// Regions maps a region to the prefixes of its callers, such as
	// "127.20.1.0/24".
	Regions map[string][]string `json:"regions" yaml:"regions"`
}

// PolicyMain is the name of the only Policy.
const PolicyMain = "main"

// Policy holds the preferences of the whole deployment. Key: policy/main.
type Policy struct {
	// Headroom, from 0 to 1, is the weight of free slots against the weight of
	// latency when candidates are ranked.
	Headroom float64 `json:"headroom" yaml:"headroom"`
	// Reserve is the share of a domain's slots that members may use without a
	// grant, at most 0.1.
	Reserve float64 `json:"reserve" yaml:"reserve"`
}

// Ticket is a numbered configuration change. It has the complete new value of
// every object that it changes; null removes the object.
type Ticket struct {
	// Number is Base + 1.
	Number uint64 `json:"number"`
	// Base is the version that the ticket was written against.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Nonce lets the writer recognize its own ticket after a lost response.
	Nonce   string                     `json:"nonce"`
	Time    time.Time                  `json:"time"`
	Objects map[string]json.RawMessage `json:"objects"`
}

// State is the configuration at a version. It is immutable: Apply returns a new
// value that shares the unchanged maps.
type State struct {
	Version   uint64              `json:"version"`
	Regions   map[string]Region   `json:"regions,omitempty"`
	Domains   map[string]Domain   `json:"domains,omitempty"`
	Links     map[string]Link     `json:"links,omitempty"`
	Services  map[string]Service  `json:"services,omitempty"`
	Upstreams map[string]Upstream `json:"upstreams,omitempty"`
	Weights   map[string]Weight   `json:"weights,omitempty"`
	Shifts    map[string]Shift    `json:"shifts,omitempty"`
	Drains    map[string]Drain    `json:"drains,omitempty"`
	Blocks    map[string]Blocks   `json:"blocks,omitempty"`
	Policies  map[string]Policy   `json:"policies,omitempty"`
	// ModifiedVersions maps an object key to the newest version that changed it.
	ModifiedVersions map[string]uint64 `json:"touched,omitempty"`
}
