package entry

// AppendString exports appendString, so that tests can compare it with
// encoding/json.
var AppendString = appendString
