"""lotusstream: a front for query engines with limited memory."""
