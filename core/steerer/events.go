package steerer

import "time"

// Event is an input of Step.
type Event interface{ steererEvent() }

// Object is the state of one object in the store. Exactly one of the pointers
// is set, except for evacuations, which have a name only.
type Object struct {
	Name     string
	Deleted  bool
	Config   *Config
	Upstream *Upstream
	Instance *Instance
}

// Listed brings all objects of a kind; those that are missing no longer exist.
type Listed struct {
	Now     int64
	Kind    Kind
	Objects []Object
	// Era and Revision are those of the store for the list. An Era of 0 is not
	// known. Stale tells that the list may be older than the store's answer.
	Era      uint64
	Revision uint64
	Stale    bool
}

// Changed brings the objects of a kind that have changed, oldest first.
type Changed struct {
	Now     int64
	Kind    Kind
	Objects []Object
	// Era and Revision are those of the store up to which the changes are
	// complete.
	Era      uint64
	Revision uint64
}

// Fetched brings what another instance knows of a kind: all objects if Whole is
// set, otherwise the changes since the revision that it was asked for. A
// Revision of 0 means that it could not be asked.
type Fetched struct {
	Now      int64
	Kind     Kind
	From     string
	Objects  []Object
	Era      uint64
	Revision uint64
	Whole    bool
	// Returned is when the store answered that instance again after it was away,
	// 0 if that was long ago.
	StoreRecoveredAt int64
}

// Asked is another instance's question for the changes of a kind, answered by
// Reply with the same Call.
type ChangesRequested struct {
	Now       int64
	RequestID uint64
	Kind      Kind
	Era       uint64
	After     uint64
}

// Lost tells that the store does not answer for a kind.
type StoreUnavailable struct {
	Now  int64
	Kind Kind
	// Cause is the error of the failed call.
	Cause string
}

// Heard is the beacon of another instance. From is the address that it came
// from, at which the instance takes beacons and answers questions itself.
type BeaconReceived struct {
	Now    int64
	Beacon Beacon
	From   string
}

// Tick reports the time.
type Tick struct{ Now int64 }

// Adjusted brings new bounds and the regions of failure domains.
type SettingsChanged struct {
	Now     int64
	Bounds  Bounds
	Regions map[string]string
}

// Departed tells that an upstream has said that it leaves.
type UpstreamLeaving struct {
	Now         int64
	Incarnation Incarnation
}

// Woken tells that the process was paused and runs again.
type Resumed struct{ Now int64 }

// Left starts the planned stop of this instance.
type ShutdownStarted struct{ Now int64 }

func (Listed) steererEvent()           {}
func (Changed) steererEvent()          {}
func (Fetched) steererEvent()          {}
func (ChangesRequested) steererEvent() {}
func (StoreUnavailable) steererEvent() {}
func (BeaconReceived) steererEvent()   {}
func (Tick) steererEvent()             {}
func (SettingsChanged) steererEvent()  {}
func (UpstreamLeaving) steererEvent()  {}
func (Resumed) steererEvent()          {}
func (ShutdownStarted) steererEvent()  {}

// Effect is an output of Step.
type Effect interface{ steererEffect() }

// Publish hands a new view to the traffic.
type Publish struct{ View View }

// Send sends a beacon to the given addresses.
type SendBeacon struct {
	To     []string
	Beacon Beacon
}

// Read makes the instance follow a kind in the store itself, from a revision
// on, or stop doing so. Wait is how long one call waits for a change.
type Watch struct {
	Kind        Kind
	Enabled     bool
	Era         uint64
	Revision    uint64
	PollTimeout time.Duration
	// Once ends the reading after a list: others have the changes.
	ListOnly bool
	// Rare tells to leave long pauses between failed calls, because many other
	// instances may do the same.
	SlowRetry bool
	// Confirm asks the store at once whether there is anything new.
	Confirm bool
}

// Fetch asks another instance for the changes of a kind; it ends with Fetched.
type Fetch struct {
	Kind  Kind
	From  Instance
	Era   uint64
	After uint64
}

// Reply answers Asked.
type Reply struct {
	RequestID uint64
	Objects   []Object
	Era       uint64
	Revision  uint64
	Whole     bool
	// Returned is the time since the store's return, 0 if that was long ago.
	SinceStoreRecovery time.Duration
}

// Register writes this instance's registration again.
type Register struct{}

// Note is a change of what the instance believes, for log and timeline.
type LogEvent struct {
	// What names the change in one word, such as configured or drained.
	Type string
	// Subject is the upstream, instance, domain or kind that has changed.
	Subject string
	Version uint64
	// Cause is a short explanation.
	Cause string
}

func (Publish) steererEffect()    {}
func (SendBeacon) steererEffect() {}
func (Watch) steererEffect()      {}
func (Fetch) steererEffect()      {}
func (Reply) steererEffect()      {}
func (Register) steererEffect()   {}
func (LogEvent) steererEffect()   {}

// View is what traffic needs to know. It is not changed once published.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// Self is this instance.
	Self Instance
	// Upstreams lists the upstreams that may get new requests, ordered by ID.
	Upstreams []Upstream
	// Peers lists the instances that share the budgets, this one included,
	// whether they can be reached or not, ordered by name.
	Peers []Instance
	// Fronts lists the instances that callers may use, ordered by name.
	Available []Instance
	// Ready tells that this instance may take requests.
	Ready bool
	// Stale tells that the view may be old, because the process has just started
	// or was paused. No request may be sent by it.
	Stale  bool
	Bounds Bounds
	// Regions gives the region of each failure domain.
	Regions map[string]string
}
