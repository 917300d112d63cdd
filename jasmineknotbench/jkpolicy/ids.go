package jkpolicy

import "strconv"

func itoa(i int) string { return strconv.Itoa(i) }

// programCacheKey returns the cache key of a program id that startTurn assigned, such
// as p12.
func programCacheKey(id string) cacheKey {
	n, err := strconv.Atoi(id[1:])
	if err != nil {
		panic("program id " + id + ": want p and a number")
	}
	return cacheKey(n)
}
