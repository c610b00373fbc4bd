package entry

// AppendString lets tests compare the encoder with encoding/json.
var AppendString = appendString
