package plain

const maxBodyBytes = 16 << 20
