package kctconfig

import (
	"fmt"
	"slices"

	kctport "kingcupturn"
)

func takeZoneOut(config kctport.Config, z kctport.ZoneOut) (kctport.Config, string, error) {
	if err := required("zone", string(z.Zone), "reason", z.Reason); err != nil {
		return config, "", err
	}
	if zoneIndex(config, z.Zone) >= 0 {
		return config, "", invalid("zone", string(z.Zone), "a zone in service")
	}
	config.ZonesOut = append(slices.Clone(config.ZonesOut), z)
	return config, fmt.Sprintf("zone %s out (%s)", z.Zone, z.Reason), nil
}

func returnZone(config kctport.Config, zone kctport.Zone) (kctport.Config, string, error) {
	at := zoneIndex(config, zone)
	if at < 0 {
		return config, "", invalid("zone", string(zone), "a zone that is out of service")
	}
	config.ZonesOut = slices.Delete(slices.Clone(config.ZonesOut), at, at+1)
	return config, fmt.Sprintf("zone %s in", zone), nil
}

func zoneIndex(config kctport.Config, zone kctport.Zone) int {
	return slices.IndexFunc(config.ZonesOut, func(z kctport.ZoneOut) bool { return z.Zone == zone })
}
