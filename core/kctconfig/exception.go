package kctconfig

import (
	"fmt"
	"slices"

	kctport "kingcupturn"
)

func setDefault(config kctport.Config, r kctport.ChangeRequest) (kctport.Config, string, error) {
	policy, err := set(config.Defaults, r.Field, r.Value)
	if err != nil {
		return config, "", err
	}
	config.Defaults = policy
	return config, fmt.Sprintf("default %s is %s", r.Field, r.Value), nil
}

func addException(config kctport.Config, e kctport.Exception) (kctport.Config, string, error) {
	if err := required("name", e.Name, "service", string(e.Service), "reason", e.Reason); err != nil {
		return config, "", err
	}
	if _, err := set(config.Defaults, e.Field, e.Value); err != nil {
		return config, "", err
	}
	for _, o := range config.Exceptions {
		if o.Name == e.Name {
			return config, "", invalid("name", e.Name, "a name that no other exception has")
		}
		if o.Service == e.Service && o.Field == e.Field {
			return config, "", invalid("field", e.Field,
				fmt.Sprintf("a field of %s without an exception; %s sets it already", e.Service, o.Name))
		}
	}
	config.Exceptions = append(slices.Clone(config.Exceptions), e)
	return config, fmt.Sprintf("exception %s: %s of %s is %s (%s)", e.Name, e.Field, e.Service, e.Value, e.Reason), nil
}

func removeException(config kctport.Config, name string) (kctport.Config, string, error) {
	at := slices.IndexFunc(config.Exceptions, func(e kctport.Exception) bool { return e.Name == name })
	if at < 0 {
		return config, "", invalid("name", name, "the name of an exception")
	}
	config.Exceptions = slices.Delete(slices.Clone(config.Exceptions), at, at+1)
	return config, fmt.Sprintf("exception %s removed", name), nil
}
