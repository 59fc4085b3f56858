"""Small stand-ins for engines, plain services and the platform; never imported by the daemon."""
