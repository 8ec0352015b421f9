"""Routes requests that arrive through tamarackgap's own HTTP interface."""
