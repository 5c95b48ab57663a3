"""The operator file: what operators decide about a gateway, one directive a line. Imported only where one
is named."""
