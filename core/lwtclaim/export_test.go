package lwtclaim

// Holds reports whether the daemon works on the claim of a key.
func (model Model) Holds(key string) bool {
	_, found := model.claims[key]
	return found
}
