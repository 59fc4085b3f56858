"""HTTP/1.1 on both sides: servers, clients, connections, streams of events; decides nothing."""
