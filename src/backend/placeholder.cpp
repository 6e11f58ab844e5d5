namespace plantaingap { }
