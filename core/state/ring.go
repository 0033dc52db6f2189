package state

// RingKeyInfo is one generation of the key ring.
type RingKeyInfo struct {
	Generation Generation
	// Salt makes this generation's keys differ from those of other generations; it is not secret.
	Salt []byte
	// ActiveFrom is when nodes begin to create IDs and seals with this generation. They accept those that others
	// created with it before that, too.
	ActiveFrom Millis
}

// Ring is the key ring. Generation 0 is derived from the fleet key alone and is always accepted,
// so that an instance can join while the platform is down.
type Ring struct {
	// Keys lists the generations above 0 that are accepted, in ascending order.
	Keys []RingKeyInfo
	Edit Edit
}

// Newest returns the highest generation that is active at the time now, with which new IDs and seals are created; 0 if none
// of Keys is active.
func (r Ring) Newest(now Millis) Generation {
	var newest Generation
	for _, k := range r.Keys {
		if k.ActiveFrom <= now {
			newest = k.Generation
		}
	}
	return newest
}
