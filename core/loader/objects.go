// Package loader defines the configuration objects, reads them from YAML and
// checks them. The state of a deployment is the result of applying numbered
// tickets in order; see State.
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
	// Capacity is in bytes per second, shared by all traffic.
	Capacity int64 `json:"capacity" yaml:"capacity"`
	// Delay is the usual one-way delay in milliseconds.
	DelayMillis int `json:"delay" yaml:"delay"`
}

// Service is one of the deployment's services. Key: service/<name>.
type Service struct {
	// Once tells that a request must run at most once and is never repeated
	// after a byte may have reached an upstream.
	Once bool `json:"once" yaml:"once"`
	// Bulk tells that answers are large and yield to others on links.
	Bulk bool `json:"bulk" yaml:"bulk"`
	// Priority runs from 0, the highest, to 9.
	Priority int `json:"priority" yaml:"priority"`
	// Limit is the longest time in milliseconds that a request may run.
	TimeoutMillis int64 `json:"limit" yaml:"limit"`
	// Body is the largest request body in bytes.
	MaxBodyBytes int64 `json:"body" yaml:"body"`
}

// Upstream is a server that runs requests of one service. Key: upstream/<name>.
type Upstream struct {
	Service string `json:"service" yaml:"service"`
	Domain  string `json:"domain" yaml:"domain"`
	// Address is "ip:port".
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that may run at the same time.
	Slots int `json:"slots" yaml:"slots"`
	// Conns is the largest number of open connections.
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
	// Cap is the largest number of moved requests per second over all instances.
	MaxRate float64   `json:"cap" yaml:"cap"`
	Start   time.Time `json:"start" yaml:"start"`
	Finish  time.Time `json:"finish" yaml:"finish"`
}

// Drain takes an upstream, a domain or a region out of use.
// Key: drain/<kind>/<name>, where kind is upstream, domain or region.
type Drain struct {
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
	// Until is the time at which the drain ends by itself; zero means never.
	Until time.Time `json:"until,omitzero" yaml:"until,omitempty"`
}

// Blocks assigns blocks of callers to their home region. Key: blocks/<n>.
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
	// latency when places are ranked.
	Headroom float64 `json:"headroom" yaml:"headroom"`
	// Reserve is the share of a domain's slots that members may use without a
	// grant, at most 0.1.
	Reserve float64 `json:"reserve" yaml:"reserve"`
}

// Ticket is a numbered change. It carries the whole new value of every object
// that it touches; null removes the object.
type Ticket struct {
	// Number is Base + 1.
	Number uint64 `json:"number"`
	// Base is the version that the ticket was written against.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Nonce is chosen by the writer, which recognizes its own ticket by it.
	Nonce   string                     `json:"nonce"`
	Time    time.Time                  `json:"time"`
	Objects map[string]json.RawMessage `json:"objects"`
}

// State is the configuration at a version. It is immutable once built: Apply
// returns a new value and shares what did not change.
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
	// Touched maps an object key to the newest version that touched it.
	ModifiedVersions map[string]uint64 `json:"touched,omitempty"`
}
