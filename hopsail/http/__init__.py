"""HTTP/1.1 on the loop: messages, a server, one-shot calls and streamed calls; httptools parses."""
