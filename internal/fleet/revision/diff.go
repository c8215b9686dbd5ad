package revision

import (
	"encoding/json"
	"maps"
	"slices"
)

// Change is one difference between two revisions. Values are JSON texts.
type Change struct {
	Key  string `json:"Key"`  // path of the key, with the keys of the objects and the indices of the lists that contain it
	From string `json:"From"` // value in the first revision; empty if it lacks the key
	To   string `json:"To"`   // value in the second revision; empty if it lacks the key
}

// Diff returns the differences between two revisions, in the order of their keys. It reports two lists of different lengths
// as one difference.
func Diff(from, to []byte) ([]Change, error) {
	before, err := decodeDocument("the first revision", from)
	if err != nil {
		return nil, err
	}
	after, err := decodeDocument("the second revision", to)
	if err != nil {
		return nil, err
	}
	return appendObjectChanges(nil, "", before, after), nil
}

func appendObjectChanges(changes []Change, path string, before, after document) []Change {
	for _, key := range unionOfKeys(before, after) {
		keyPath := joinKey(path, key)
		from, hadKey := before[key]
		to, hasKey := after[key]
		if hadKey && hasKey {
			changes = appendValueChanges(changes, keyPath, from, to)
			continue
		}
		change := Change{Key: keyPath}
		if hadKey {
			change.From = jsonText(from)
		}
		if hasKey {
			change.To = jsonText(to)
		}
		changes = append(changes, change)
	}
	return changes
}

func appendValueChanges(changes []Change, path string, from, to any) []Change {
	before, wasObject := from.(document)
	after, isObject := to.(document)
	if wasObject && isObject {
		return appendObjectChanges(changes, path, before, after)
	}
	oldList, wasList := from.([]any)
	newList, isList := to.([]any)
	if wasList && isList && len(oldList) == len(newList) {
		for i := range oldList {
			changes = appendValueChanges(changes, joinIndex(path, i), oldList[i], newList[i])
		}
		return changes
	}
	change := Change{Key: path, From: jsonText(from), To: jsonText(to)}
	if change.From != change.To {
		changes = append(changes, change)
	}
	return changes
}

func unionOfKeys(a, b document) []string {
	keys := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(keys)
	return slices.Compact(keys)
}

func jsonText(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return err.Error() // does not happen for a value of a document
	}
	return string(raw)
}
