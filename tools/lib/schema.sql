CREATE TABLE currantshed_outcome (
  key TEXT PRIMARY KEY, issued_ms BIGINT NOT NULL,
  digest TEXT NOT NULL, state TEXT NOT NULL);
