package jkpolicy

import "strconv"

func itoa(i int) string { return strconv.Itoa(i) }

// programCacheKey reads the id that world gives to a program.
func programCacheKey(id string) cacheKey {
	n, err := strconv.Atoi(id[1:])
	if err != nil {
		panic("program id " + id + ": want p and a number")
	}
	return cacheKey(n)
}
