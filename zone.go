package lovageshift

// Zone is an availability zone. If it is not in service, its targets get no new requests.
type Zone struct {
	ID        ZoneID `toml:"-"`
	InService bool   `toml:"inService"`
}

func newZone(id ZoneID) *Zone { return &Zone{ID: id, InService: true} }

func (z *Zone) validate(*Config) []Problem { return nil }
