"""Routes requests for an embedder that provides the store and the codecs."""
