package steerer

import "time"

// Event is an input of Step.
type Event interface{ isEvent() }

// Object is the state of one object in the store. Exactly one of the pointers is
// set unless the object is deleted, kept, unreadable, or an evacuation, which has only
// a name.
type Object struct {
	Name       string
	Deleted    bool        `json:",omitempty"`
	Config     *Config     `json:",omitempty"`
	Upstream   *Upstream   `json:",omitempty"`
	Instance   *Instance   `json:",omitempty"`
	Quarantine *Quarantine `json:",omitempty"`
	// Kept means that the object of a list is the same as at the revision after which
	// changes were requested, and is left out.
	Kept bool `json:",omitempty"`
}

// Listed carries all objects of a kind. Known objects that it lacks no longer
// exist.
type Listed struct {
	Now int64
	// AskedAt is when the call to the store was made.
	AskedAt int64
	Kind    Kind
	Objects []Object
	// Era and Revision are the store's position at the time of the list. Era is 0 if
	// it is unknown.
	Era      uint64
	Revision uint64
	// Stale means that the list may be older than the store's current state.
	Stale bool
}

// Changed carries the changed objects of a kind, oldest change first.
type Changed struct {
	Now int64
	// AskedAt is when the call to the store was made.
	AskedAt int64
	Kind    Kind
	Objects []Object
	// Era and Revision are the store's position up to which the changes are complete.
	Era      uint64
	Revision uint64
}

// Fetched carries the result of a Fetch: all objects of the kind if Whole is set,
// otherwise the changes since the requested revision. A Revision of 0 means that
// the fetch failed or that the other instance had no confirmed state.
type Fetched struct {
	Now int64
	// AskedAt is when the request was sent.
	AskedAt  int64
	Kind     Kind
	From     string
	Objects  []Object
	Era      uint64
	Revision uint64
	Whole    bool
	// StoreRecoveredAt is when the store answered that instance again after an
	// outage, or 0 if that was long ago.
	StoreRecoveredAt int64
}

// ChangesRequested is another instance's request for the changes of a kind after a
// revision. It is answered by a Reply with the same RequestID.
type ChangesRequested struct {
	Now       int64
	RequestID uint64
	Kind      Kind
	Era       uint64
	After     uint64
}

// StoreUnavailable reports a failed call to the store for a kind.
type StoreUnavailable struct {
	Now int64
	// AskedAt is when the call to the store was made.
	AskedAt int64
	Kind    Kind
	// Cause is the error text of the failed call.
	Cause string
}

// BeaconReceived carries the beacon of another instance. From is its source
// address, at which the sender also receives beacons and serves changes.
type BeaconReceived struct {
	Now    int64
	Beacon Beacon
	From   string
}

// Tick reports the time.
type Tick struct{ Now int64 }

// SettingsChanged carries new bounds and the regions of failure domains.
type SettingsChanged struct {
	Now     int64
	Bounds  Bounds
	Regions map[string]string
}

// UpstreamLeaving reports that an upstream has announced that it is leaving.
type UpstreamLeaving struct {
	Now         int64
	Incarnation Incarnation
}

// UpstreamLimited reports what a response says about its upstream's limit, as of the
// time At.
type UpstreamLimited struct {
	Now         int64
	Incarnation Incarnation
	State       RateLimitState
	At          int64
}

// Resumed reports that the process runs again after a pause.
type Resumed struct{ Now int64 }

// ShutdownStarted reports that the graceful shutdown of this instance has begun.
type ShutdownStarted struct{ Now int64 }

func (Listed) isEvent()           {}
func (Changed) isEvent()          {}
func (Fetched) isEvent()          {}
func (ChangesRequested) isEvent() {}
func (StoreUnavailable) isEvent() {}
func (BeaconReceived) isEvent()   {}
func (Tick) isEvent()             {}
func (SettingsChanged) isEvent()  {}
func (UpstreamLeaving) isEvent()  {}
func (UpstreamLimited) isEvent()  {}
func (Resumed) isEvent()          {}
func (ShutdownStarted) isEvent()  {}

// Effect is an output of Step.
type Effect interface{ isEffect() }

// Publish passes a new view to the data plane.
type Publish struct{ View View }

// SendBeacon sends a beacon to the given addresses.
type SendBeacon struct {
	To     []string
	Beacon Beacon
}

// Watch starts or stops watching a kind in the store, from a revision on.
type Watch struct {
	Kind     Kind
	Enabled  bool
	Era      uint64
	Revision uint64
	// PollTimeout is how long one call waits for a change.
	PollTimeout time.Duration
	// ListOnly stops after one list. Later changes come from other instances.
	ListOnly bool
	// SlowRetry makes the pauses after failed calls long, because many other
	// instances may be retrying as well.
	SlowRetry bool
	// Confirm makes the next call return at once, with or without changes.
	Confirm bool
}

// Fetch requests the changes of a kind from another instance. Its result arrives
// as Fetched.
type Fetch struct {
	Kind  Kind
	From  Instance
	Era   uint64
	After uint64
}

// Reply answers ChangesRequested.
type Reply struct {
	RequestID uint64
	Objects   []Object
	Era       uint64
	Revision  uint64
	Whole     bool
	// SinceStoreRecovery is the time since the store's last outage ended, or 0 if
	// that was long ago.
	SinceStoreRecovery time.Duration
}

// ApplyRateLimit passes another instance's observation of an upstream's limit, made at the
// time At, to the data plane.
type ApplyRateLimit struct {
	Incarnation Incarnation
	State       RateLimitState
	At          int64
}

// Register writes this instance's registration again.
type Register struct{}

// LogEvent reports a state change or a rejected object, for the log and the
// timeline.
type LogEvent struct {
	// Type names the event in one word, such as configured or drained.
	Type string
	// Subject is the upstream, instance, domain, configuration or kind concerned.
	Subject string
	// Version is the version of a configuration, or the new era of the store.
	Version uint64
	// Cause is a short explanation.
	Cause string
}

func (Publish) isEffect()        {}
func (SendBeacon) isEffect()     {}
func (Watch) isEffect()          {}
func (Fetch) isEffect()          {}
func (Reply) isEffect()          {}
func (ApplyRateLimit) isEffect() {}
func (Register) isEffect()       {}
func (LogEvent) isEffect()       {}

// View is the immutable snapshot of the state that the data plane uses.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// Self is this instance.
	Self Instance
	// Upstreams lists the upstreams that may receive new requests, ordered by ID.
	Upstreams []Upstream
	// Peers lists the instances that share the budgets, including this one and
	// unreachable ones, ordered by name.
	Peers []Instance
	// PeersIncomplete means that the instances, or this one's registration, have not
	// been seen in the store yet. The others may not count this instance, so it takes
	// no share of what is divided among all.
	PeersIncomplete bool
	// Available lists the instances that callers may use, ordered by name.
	Available []Instance
	// Ready means that this instance may accept requests.
	Ready bool
	// Stale means that the view may be outdated because the process has just started
	// or was paused, or that its configuration is known to be. No request may be sent
	// based on it.
	Stale  bool
	Bounds Bounds
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// ConfigUnconfirmed means that neither the store nor another instance confirms the
	// configuration at the moment, so that there may be a newer one.
	ConfigUnconfirmed bool
}
