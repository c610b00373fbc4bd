package entry

// AppendString exports appendString, so that tests can compare it with
// encoding/json.
var AppendString = appendString

// ForEachElement and ForEachMember read the values of a JSON list or object one at a time.
var (
	ForEachElement = forEachElement
	ForEachMember  = forEachMember
)
