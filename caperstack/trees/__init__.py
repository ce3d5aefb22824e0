"""Trees of calls: which calls the runs of the local backend server make, and what they need."""
