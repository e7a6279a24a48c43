package loader

// Settings are the settings of one hornbeamd process.
type Settings struct {
	// Name is unique in the deployment and stays with the instance's address.
	Name string `yaml:"name"`
	// Domain is the failure domain that the instance stands in.
	Domain string `yaml:"domain"`
	// Region is the region of Domain; needed before the first configuration
	// arrives.
	Region string `yaml:"region"`
	// Front is the address for callers, Data for forwarded requests, Peer for
	// control calls between instances, Admin for operators. All are "ip:port".
	Front string `yaml:"front"`
	Data  string `yaml:"data"`
	Peer  string `yaml:"peer"`
	Admin string `yaml:"admin"`
	// Platform is the base URL of the platform's API.
	Platform string `yaml:"platform"`
	// Seeds are Peer addresses of other instances.
	Seeds []string `yaml:"seeds"`
}
