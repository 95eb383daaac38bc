"""Small programs that stand in for what merlinthread meets: engines, services, origin, platform."""
