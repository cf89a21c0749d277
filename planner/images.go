package planner

import (
	"cmp"
	"slices"
)

// imageUse is the number of millicores that the tasks of an image request.
type imageUse struct {
	image      string
	millicores int64
}

// imageUses holds one element for each image, sorted by image, so that sums of
// floating-point terms over it come out the same in each cycle and process.
type imageUses []imageUse

func (u imageUses) find(image string) (int, bool) {
	return slices.BinarySearchFunc(u, image, func(use imageUse, image string) int { return cmp.Compare(use.image, image) })
}

func (u imageUses) millicores(image string) int64 {
	if i, found := u.find(image); found {
		return u[i].millicores
	}
	return 0
}

func (u *imageUses) add(image string, millicores int64) {
	i, found := u.find(image)
	if !found {
		*u = slices.Insert(*u, i, imageUse{image: image})
	}
	(*u)[i].millicores += millicores
}
