// Package chain finds errors of a type in a chain of wrapped errors.
package chain

import "github.com/zeebo/errs"

// As finds the first error of type T in the chain of err and stores it in target.
func As[T error](err error, target *T) bool {
	return errs.IsFunc(err, func(link error) (ok bool) {
		found, ok := link.(T)
		if ok {
			*target = found
		}
		return ok
	})
}
