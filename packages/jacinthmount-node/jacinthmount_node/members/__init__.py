"""Host membership, account shares and configuration sync."""
