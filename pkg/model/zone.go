package model

import "slices"

// EvacuateZone asks that no more requests are sent to the targets of an
// availability zone. It changes nothing if the zone is evacuated already.
type EvacuateZone struct{ Zone ZoneName }

// ReturnZone ends the evacuation of a zone. It changes nothing if the zone is not
// evacuated.
type ReturnZone struct{ Zone ZoneName }

func (EvacuateZone) isChange() {}
func (ReturnZone) isChange()   {}

// maxEvacuatedZones bounds the list of evacuated zones.
const maxEvacuatedZones = 64

// IsEvacuated reports whether the targets of a zone get no more requests.
func (c Config) IsEvacuated(zone ZoneName) bool {
	_, ok := slices.BinarySearch(c.Evacuated, zone)
	return ok
}

func (c Config) evacuateZone(ch EvacuateZone) (Config, error) {
	if err := checkName("zone", string(ch.Zone)); err != nil {
		return c, err
	}
	at, ok := slices.BinarySearch(c.Evacuated, ch.Zone)
	if ok {
		return c, nil
	}
	if len(c.Evacuated) >= maxEvacuatedZones {
		return c, ErrInvalid{Field: "zone", Got: string(ch.Zone), Want: "one of at most 64 evacuated zones; return a zone first"}
	}
	c.Evacuated = slices.Insert(slices.Clone(c.Evacuated), at, ch.Zone)
	return c, nil
}

func (c Config) returnZone(ch ReturnZone) (Config, error) {
	if err := checkName("zone", string(ch.Zone)); err != nil {
		return c, err
	}
	if at, ok := slices.BinarySearch(c.Evacuated, ch.Zone); ok {
		c.Evacuated = slices.Delete(slices.Clone(c.Evacuated), at, at+1)
	}
	return c, nil
}
