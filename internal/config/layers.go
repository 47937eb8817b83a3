package config

import "reflect"

// policyLayer is one section that can set values of a policy.
type policyLayer struct {
	section string // its path in the file, such as route[0]
	source  string // its name in an explanation
	policy  *Policy
}

// origin is the layer that set a value, if any.
type origin struct {
	layer policyLayer
	isSet bool
}

// effectivePolicy is the policy in force for one kind of request: several layers, each overriding the previous ones.
type effectivePolicy struct {
	Policy
	origins map[string]origin // by key; no entry for keys that no layer sets
}

// isSet reports whether any layer sets a key.
func (e *effectivePolicy) isSet(key string) bool { return e.origins[key].isSet }

// isDefault reports whether no layer sets anything.
func (e *effectivePolicy) isDefault() bool { return len(e.origins) == 0 }

// hedgingOff reports whether a layer switches hedging off.
func (e *effectivePolicy) hedgingOff() bool { return e.isSet(keyHedging) && !e.Hedging }

// keyPath returns the full path of a key in the section that sets it, for use in an error.
func (e *effectivePolicy) keyPath(key string) string {
	if origin := e.origins[key]; origin.isSet {
		return origin.layer.section + "." + key
	}
	return key
}

// overlay merges layers; later ones override earlier ones.
func (c *checker) overlay(layers ...policyLayer) *effectivePolicy {
	effective := &effectivePolicy{origins: map[string]origin{}}
	target := reflect.ValueOf(&effective.Policy).Elem()
	for _, layer := range layers {
		source := reflect.ValueOf(layer.policy).Elem()
		for i, key := range policyKeys {
			if c.doc.Has(layer.section + "." + key) {
				target.Field(i).Set(source.Field(i))
				effective.origins[key] = origin{layer, true}
			}
		}
	}
	return effective
}

// baseLayers returns the layers below a tenant or a route: the default section, and the section of the class if there
// is one.
func (c *checker) baseLayers(className string) []policyLayer {
	layers := []policyLayer{c.defaultLayer()}
	for i := range c.file.Classes {
		class := &c.file.Classes[i]
		if class.Name == className {
			return append(layers, policyLayer{sectionKey("class", i), "class " + className, &class.Policy})
		}
	}
	return layers
}

func (c *checker) defaultLayer() policyLayer {
	return policyLayer{"default", "default", &c.file.Default}
}

// tenantLayers returns the layer of a tenant; empty if the tenant has no section.
func (c *checker) tenantLayers(name string) []policyLayer {
	for i := range c.file.Tenants {
		if c.file.Tenants[i].Name == name {
			return []policyLayer{c.tenantLayer(i)}
		}
	}
	return nil
}

func (c *checker) tenantLayer(i int) policyLayer {
	tenant := &c.file.Tenants[i]
	return policyLayer{sectionKey("tenant", i), "tenant " + tenant.Name, &tenant.Policy}
}
